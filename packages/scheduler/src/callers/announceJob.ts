import type { Job } from "@balsamward/schema/scheduling";
import { PEER_CALL_TIMEOUT_MS } from "../constants.js";
import type { Desk } from "./Desk.js";

/**
 * Tells the owner of a stored job or cancellation; if it is not reached, its watch shows the change.
 *
 * @param desk - What answering needs.
 * @param job - The job.
 * @param revision - Revision of the job.
 * @param cancelled - Whether the job was cancelled.
 */
export function announceJob(desk: Desk, job: Job, revision: number, cancelled: boolean): void {
    const own = desk.ownerDesk();
    if (own !== undefined) {
        if (cancelled) {
            own.cancelJob(job.id);
        }
        else {
            own.addJob(job, revision);
        }
        return;
    }
    const owner = desk.cluster.peers.get(desk.cluster.owner?.address ?? "");
    owner?.client.calls.announceJob({ job, revision, cancelled }, { timeoutMs: PEER_CALL_TIMEOUT_MS }).catch(
        error => {
            desk.cluster.metrics.peerCalls.inc({ call: "announce", result: "failed" });
            desk.cluster.log.debug("The owner is not told of a job.", { job: job.id, error: String(error) });
        },
    );
}
