import { JobState } from "@balsamward/schema/scheduling";
import type { FleetConfiguration } from "../../FleetConfiguration.js";
import type { JobEntry, TaskEntry } from "../../state/JobEntry.js";
import { createTermsFinder } from "../jobs/createTermsFinder.js";
import { endJob, markProgressChanged } from "../jobs/endJob.js";
import type { Scheduler } from "../Scheduler.js";
import { listTasksSharingOutcome } from "./listTasksSharingOutcome.js";

/** Number of failures of a task after which its job fails, if no terms apply to it. */
const DEFAULT_ATTEMPTS = 2;

/** What an owner knows that has not read the configuration yet: terms that are stored with a job apply to it. */
const NO_CONFIGURATION: Pick<FleetConfiguration, "version" | "queues" | "services"> = {
    version: 0,
    queues: [],
    services: [],
};

/**
 * Counts a failure of a task that does not last, and fails its job once its attempts are used up.
 *
 * @param scheduler - The scheduler.
 * @param task - The task; one that is done is ignored.
 * @param runNumber - Number of the run that has failed; one that is counted already is ignored.
 */
export function countFailure(scheduler: Scheduler, task: TaskEntry, runNumber: number): void {
    const { step } = task;
    if (task.countedRuns.has(runNumber) || task.done) {
        return;
    }
    for (const member of listTasksSharingOutcome(task)) {
        member.countedRuns.add(runNumber);
        member.failures += 1;
    }
    markProgressChanged(scheduler, step.job);
    const attempts = getAttempts(scheduler, step.job);
    scheduler.log.info("A failure of a task is counted.", {
        ...task.name,
        run: runNumber,
        countedRuns: [...task.countedRuns],
        failures: task.failures,
        attempts,
    });
    if (task.failures >= attempts) {
        endJob(scheduler, step.job, JobState.FAILED, "attempts-used-up");
    }
}

function getAttempts({ configuration }: Scheduler, entry: JobEntry): number {
    const findTerms = createTermsFinder(configuration() ?? NO_CONFIGURATION);
    return findTerms(entry).terms?.attempts ?? DEFAULT_ATTEMPTS;
}
