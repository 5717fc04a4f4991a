import type { CommandResult, ReservationReport, WorkerModel } from "@balsamward/stand-ins";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { WorkerClient, WorkerError } from "../../../packages/daemon/src/fleet/WorkerClient.js";
import type { CommandFault } from "./CommandFaults.js";

/** What the client of one owner calls. */
export type FaultyWorkerClientContext = {
    /** The workers by their addresses. */
    readonly workers: ReadonlyMap<string, WorkerModel>;
    /** Addresses of workers that run on, but that no owner reaches. */
    readonly silentAddresses: ReadonlySet<string>;
    /** Returns the fault to inject at the command that the owner now sends, if any. */
    readonly takeFault: () => CommandFault | undefined;
    /** Resolves as soon as the owner is not paused. */
    readonly waitWhilePaused: () => Promise<void>;
    /** Called before a reservation is started. */
    readonly onStart: (reservation: string) => void;
};

const UNREACHABLE: WorkerError = {
    kind: "unreachable",
    message: "The worker does not answer. Try again later.",
};

/**
 * Creates the client through which one owner of a cell commands fake workers.
 *
 * @param context - The workers, and the faults of the owner's commands.
 * @returns The client; faults are injected at its commands, but not at renewals.
 */
export function createFaultyWorkerClient(context: FaultyWorkerClientContext): WorkerClient {
    const command = async (address: string, action: (worker: WorkerModel) => CommandResult) => {
        const fault = context.takeFault();
        await context.waitWhilePaused();
        if (context.silentAddresses.has(address)) {
            return err(UNREACHABLE);
        }
        return executeCommand(context.workers.get(address)!, fault, action);
    };
    return {
        reserve: (address, owner, request) =>
            command(address, worker => worker.reserve({ ...owner, ...request })),
        start: (address, owner, id, runMs) => {
            context.onStart(id);
            return command(address, worker => worker.start(owner, id, runMs));
        },
        checkpoint: (address, owner, id) => command(address, worker => worker.checkpoint(owner, id)),
        stop: (address, owner, id) => command(address, worker => worker.stop(owner, id)),
        renew: async (address, owner, settled, ttlMs) => {
            await context.waitWhilePaused();
            const worker = context.workers.get(address)!;
            if (worker.faults.dead || context.silentAddresses.has(address)) {
                return err(UNREACHABLE);
            }
            const reports = worker.renew(owner, ttlMs);
            if (reports === undefined) {
                return err({ kind: "refused", reason: "stale-epoch" });
            }
            settled.forEach(id => worker.forget(id));
            return ok(reports.filter(report => !settled.includes(report.id)));
        },
    };
}

async function executeCommand(
    worker: WorkerModel,
    fault: CommandFault | undefined,
    action: (worker: WorkerModel) => CommandResult,
): Promise<Result<ReservationReport, WorkerError>> {
    if (fault === "worker dies") {
        worker.kill();
    }
    if (worker.faults.dead || fault === "command lost") {
        return err(UNREACHABLE);
    }
    const result = action(worker);
    await Promise.resolve();
    if (fault === "answer lost") {
        return err(UNREACHABLE);
    }
    return result.kind === "done" ? ok(result.report) : err(result);
}
