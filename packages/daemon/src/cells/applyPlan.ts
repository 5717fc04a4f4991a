import type { PlacementPlan, WorkerPlacement } from "@balsamward/placement";
import { recordAllocation, releaseAllocation } from "@balsamward/placement";
import type { Job, JobId } from "@balsamward/schema";
import { GrantSchema, JobStage, Standing } from "@balsamward/schema";
import { create } from "@bufbuild/protobuf";
import type { CellRuntime } from "./CellRuntime.js";
import { toAllocation } from "./rebuildCell.js";

/**
 * Applies a placement plan: releases the allocations of the preemption victims and allocates the job's accelerators.
 *
 * Runs synchronously, so that no other plan can use the same accelerators.
 *
 * @param runtime - The cell's runtime.
 * @param job - The queued job.
 * @param plan - The placement plan.
 * @returns The victims, which the caller must stop before it starts the job.
 *
 * @example
 * const victims = applyPlan(runtime, job, plan);
 */
export function applyPlan(runtime: CellRuntime, job: Job, plan: PlacementPlan): readonly Job[] {
    const victims = plan.victims.map(id => runtime.jobs.get(id)!).filter(victim => victim !== undefined);
    for (const victim of victims) {
        releaseAllocation(runtime.cell, victim.id as JobId);
        runtime.preemptedJobs.add(victim.id as JobId);
        victim.stage = JobStage.STOPPING;
    }
    job.attempts += 1;
    job.stage = JobStage.RESERVING;
    job.standing = plan.standing.kind === "guaranteed" ? Standing.GUARANTEED : Standing.BORROWED;
    job.guarantee = plan.standing.kind === "guaranteed" ? plan.standing.guarantee : "";
    const reservation = `${job.id}-${runtime.owner.epoch}-${job.attempts}`;
    const toGrant = (placed: WorkerPlacement) => create(GrantSchema, { ...placed, reservation });
    job.slot = plan.standing.kind === "guaranteed" ? plan.standing.slot.map(toGrant) : [];
    job.grants = plan.placement.map(toGrant);
    recordAllocation(runtime.cell, toAllocation(runtime, job));
    return victims;
}
