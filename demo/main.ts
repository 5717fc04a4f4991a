import { Checks } from "./Checks.js";
import { DemoClient } from "./DemoClient.js";
import type { Demo } from "./runScenario.js";
import { runScenario } from "./runScenario.js";
import { DAEMON_DATA_CENTRES, getDaemonOptions, startDemoProcesses } from "./startDemoProcesses.js";
import { stopProcesses } from "./stopProcesses.js";

const demo = startDemo();
const { checks, processes } = demo;
try {
    await runScenario(demo);
}
catch (error) {
    checks.failures.push(String(error));
}
if (process.argv.includes("--stay")) {
    await waitForInterrupt(demo);
}
await stopProcesses(processes.processes, checks);
process.stdout.write(
    checks.failures.length === 0
        ? `All checks passed in ${checks.formatElapsedSeconds()} s.\n`
        : `${checks.failures.length} checks failed. See the logs in ${processes.folder}.\n`,
);
process.exit(checks.failures.length === 0 ? 0 : 1);

function startDemo(): Demo {
    const checks = new Checks();
    const processes = startDemoProcesses();
    const client = new DemoClient(processes.folder);
    const daemons = DAEMON_DATA_CENTRES.map((dataCentre, index) => processes.startDaemon(index, dataCentre));
    return { processes, daemons, client, checks };
}

async function waitForInterrupt(demo: Demo): Promise<void> {
    const { checks, client, daemons } = demo;
    const addresses = daemons.map((_, index) => getDaemonOptions(index, "recife").addresses);
    checks.printNote(`customer API: ${addresses.map(({ callers }) => `http://${callers}`).join(", ")}`);
    checks.printNote(
        `operator API: ${addresses.map(({ operations }) => `http://${operations}`).join(", ")}`,
    );
    checks.printNote(`settings files for '--settings': ${client.commandSettings.join(", ")}`);
    checks.printNote("Press Ctrl+C to stop the demo.");
    await new Promise<void>(resolve => process.once("SIGINT", () => resolve()));
}
