import type { Job } from "@balsamward/schema/scheduling";
import { PEER_CALL_TIMEOUT_MS } from "../constants.js";
import type { CallContext } from "./CallContext.js";

/**
 * Notifies the owner of a stored job or cancellation.
 *
 * A notification that fails is not retried: the owner also receives the change through its watch of the store.
 *
 * @param context - The services that the call uses.
 * @param job - The job.
 * @param revision - Revision of the job.
 * @param cancelled - Whether the job was cancelled.
 */
export function notifyOwner(context: CallContext, job: Job, revision: number, cancelled: boolean): void {
    const localOwner = context.localOwner();
    if (localOwner !== undefined) {
        if (cancelled) {
            localOwner.cancelJob(job.id);
        }
        else {
            localOwner.addJob(job, revision);
        }
        return;
    }
    const owner = context.cluster.peers.get(context.cluster.owner?.address ?? "");
    owner?.client.calls.announceJob({ job, revision, cancelled }, { timeoutMs: PEER_CALL_TIMEOUT_MS }).catch(
        error => {
            context.cluster.metrics.peerCalls.inc({ call: "announce", result: "failed" });
            context.cluster.log.debug("The owner cannot be notified of a job.", {
                job: job.id,
                error: String(error),
            });
        },
    );
}
