import { Command } from "commander";
import type { FleetPart } from "./startFleet.js";
import { startFleet } from "./startFleet.js";
import { startStore } from "./startStore.js";

const program = new Command("stand-ins").description("Runs small fakes of the platform's interfaces.");

program.command("store")
    .requiredOption("--port <port>", "port to listen on", Number)
    .action(async ({ port }: { port: number }) => {
        const store = await startStore({ port });
        process.stdout.write(`${JSON.stringify({ store: store.url })}\n`);
        stopOnSignal(store.close);
    });

program.command("fleet")
    .requiredOption("--part <dc:workers:perRack:accelerators...>", "data centres with their workers")
    .requiredOption("--vm-list-port <port>", "port of the VM list", Number)
    .requiredOption("--control-port <port>", "port of the fault switches", Number)
    .action(async (options: { part: string[]; vmListPort: number; controlPort: number }) => {
        const fleet = await startFleet(options.part.map(parsePart), {
            vmListPort: options.vmListPort,
            controlPort: options.controlPort,
            usageLagMs: 200,
        });
        process.stdout.write(`${JSON.stringify({ vmList: fleet.vmList.url, agents: fleet.agents.url })}\n`);
        stopOnSignal(fleet.close);
    });

await program.parseAsync();

function parsePart(text: string): FleetPart {
    const [dataCentre = "", workers, workersPerRack, accelerators] = text.split(":");
    return {
        dataCentre,
        workers: Number(workers),
        workersPerRack: Number(workersPerRack),
        accelerators: Number(accelerators),
    };
}

function stopOnSignal(close: () => Promise<void>): void {
    process.once("SIGTERM", () => void close().then(() => process.exit(0)));
}
