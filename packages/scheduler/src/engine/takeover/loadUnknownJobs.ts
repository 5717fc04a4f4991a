import type { HoldAnswer } from "../../ports/WorkerPort.js";
import { storeKeys } from "../../storeKeys.js";
import type { Scheduler } from "../Scheduler.js";
import { restoreJob } from "./restoreJob.js";

/**
 * Loads the jobs of a worker's answer that the owner does not know yet.
 *
 * An owner that was replaced may have started a job that its successor has not learned of. The end of such a run
 * must not be acknowledged, nor the run be stopped, before it is certain that the job does not exist.
 *
 * @param scheduler - The scheduler.
 * @param answer - The worker's answer to a hold.
 * @returns Whether every job of the answer is known or certainly absent; false if the store cannot be read.
 */
export async function loadUnknownJobs(scheduler: Scheduler, answer: HoldAnswer): Promise<boolean> {
    const ids = new Set([...answer.running, ...answer.ended].map(({ task }) => task.job));
    for (const id of ids) {
        if (scheduler.jobs.has(id)) {
            continue;
        }
        const [job, progress, parts] = await Promise.all([
            scheduler.store.read(storeKeys.job(id)),
            scheduler.store.read(storeKeys.progress(id)),
            scheduler.store.list(storeKeys.progressPartPrefix(id)),
        ]);
        if (job.isErr() || progress.isErr() || parts.isErr()) {
            scheduler.log.warn("A job that a worker lists cannot be read.", { job: id });
            return false;
        }
        scheduler.log.warn("A worker lists a job that the owner does not know.", {
            job: id,
            isStored: job.value !== undefined,
        });
        if (job.value !== undefined) {
            const progressItems = progress.value === undefined ? [] : [progress.value, ...parts.value.items];
            restoreJob(scheduler, job.value, progressItems);
        }
    }
    return true;
}
