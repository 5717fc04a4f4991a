import { Command } from "commander";
import { startEndpoint } from "./startEndpoint.js";
import type { WorkerGroup } from "./startFleet.js";
import { startFleet } from "./startFleet.js";
import { startStore } from "./startStore.js";
import { startVmList } from "./startVmList.js";
import type { Vm } from "./Vm.js";

type FleetOptions = {
    readonly part: readonly string[];
    readonly vmListPort: number;
    readonly controlPort: number;
    readonly endpoints: boolean;
    readonly serviceMs: number;
};

const program = new Command("stand-ins").description("Runs fakes of the platform's interfaces.");

program.command("store")
    .requiredOption("--port <port>", "port to listen on", Number)
    .action(async ({ port }: { port: number }) => {
        const store = await startStore({ port });
        process.stdout.write(`${JSON.stringify({ store: store.url })}\n`);
        stopOnSignal(store.close);
    });

program.command("fleet")
    .requiredOption("--part <dc:workers:perRack:accelerators...>", "workers of each data centre")
    .requiredOption("--vm-list-port <port>", "port of the VM list", Number)
    .requiredOption("--control-port <port>", "port of the server that injects faults", Number)
    .option("--no-endpoints", "start worker agents without endpoints")
    .option("--service-ms <ms>", "time that a request takes, in milliseconds", Number, 2)
    .action(async (options: FleetOptions) => {
        const fleet = await startFleet(options.part.map(parseWorkerGroup), {
            vmListPort: options.vmListPort,
            controlPort: options.controlPort,
            usageLagMs: 200,
            startsEndpoints: options.endpoints,
            serviceMs: options.serviceMs,
        });
        process.stdout.write(`${JSON.stringify({ vmList: fleet.vmList.url, agents: fleet.agents.url })}\n`);
        stopOnSignal(fleet.close);
    });

program.command("endpoints")
    .requiredOption("--count <count>", "number of endpoints", Number)
    .option("--service-ms <ms>", "time that a request takes, in milliseconds", Number, 0)
    .action(async (options: { count: number; serviceMs: number }) => {
        const endpoints = await Promise.all(
            Array.from(
                { length: options.count },
                (_, index) =>
                    startEndpoint(`endpoint-${index}`, {
                        serviceMs: options.serviceMs,
                        recordsExecutions: false,
                    }),
            ),
        );
        process.stdout.write(`${JSON.stringify({ endpoints: endpoints.map(endpoint => endpoint.url) })}\n`);
        stopOnSignal(async () => {
            await Promise.all(endpoints.map(endpoint => endpoint.close()));
        });
    });

program.command("vm-list")
    .requiredOption("--port <port>", "port to listen on", Number)
    .requiredOption("--vms <json>", "initial list as JSON")
    .action(async (options: { port: number; vms: string }) => {
        const list = await startVmList(JSON.parse(options.vms) as readonly Vm[], { port: options.port });
        process.stdout.write(`${JSON.stringify({ vmList: list.url })}\n`);
        stopOnSignal(list.close);
    });

await program.parseAsync();

function parseWorkerGroup(text: string): WorkerGroup {
    const [dataCentre = "", workers, workersPerRack, accelerators] = text.split(":");
    return {
        dataCentre,
        workerCount: Number(workers),
        workersPerRack: Number(workersPerRack),
        acceleratorsPerWorker: Number(accelerators),
    };
}

function stopOnSignal(close: () => Promise<void>): void {
    process.once("SIGTERM", () => void close().then(() => process.exit(0)));
}
