import type { StartedProcess } from "@balsamward/measure";
import { setTimeout as sleep } from "node:timers/promises";
import type { Checks } from "./Checks.js";

const STOP_TIMEOUT_MS = 30_000;

/**
 * Stops the daemons, which must stop gracefully, and then the stand-ins; kills what still runs after the timeouts.
 *
 * @param processes - All processes that the demo has started.
 * @param checks - Receives whether the daemons stop gracefully.
 */
export async function stopProcesses(processes: readonly StartedProcess[], checks: Checks): Promise<void> {
    const liveProcesses = processes.filter(started =>
        started.child.exitCode === null && started.child.signalCode === null
    );
    const [liveDaemons, liveStandIns] = [
        liveProcesses.filter(started => started.name.startsWith("entry")),
        liveProcesses.filter(started => !started.name.startsWith("entry")),
    ];
    liveDaemons.forEach(started => started.child.kill("SIGTERM"));
    const exitCodes = await Promise.race([
        Promise.all(liveDaemons.map(started => started.exited)),
        sleep(STOP_TIMEOUT_MS).then(() => [1]),
    ]);
    checks.expectNow("the daemons stop gracefully", exitCodes.every(code => code === 0));
    liveStandIns.forEach(started => started.child.kill("SIGTERM"));
    await Promise.race([Promise.all(liveStandIns.map(started => started.exited)), sleep(STOP_TIMEOUT_MS)]);
    liveProcesses.filter(started => started.child.exitCode === null).forEach(started =>
        started.child.kill("SIGKILL")
    );
}
