import type { ReservationReport } from "@balsamward/stand-ins";

/** Time in milliseconds since which a running gang lacks a member, or `undefined` if it is complete. */
type GangObservation = { incompleteSince: number | undefined };

/** Maximum time that an incomplete gang may run: the time to live of a reservation plus one renewal interval. */
const MAX_INCOMPLETE_MS = 11_000;

/** Checks on the workers that gangs start and run as a whole. */
export class GangChecks {
    /** Violations found: an incomplete gang that ran for too long, or a member that started too early. */
    readonly violations: string[] = [];
    private readonly observations = new Map<string, GangObservation>();

    /**
     * Creates the checks of gangs that all have the same number of members.
     *
     * @param memberCount - The number of members of a complete gang.
     */
    constructor(private readonly memberCount: number) {}

    /**
     * Records a violation for each gang that has run incomplete for longer than `MAX_INCOMPLETE_MS`.
     *
     * @param reports - The reports of all workers.
     * @param now - The time in milliseconds.
     */
    checkRunning(reports: readonly ReservationReport[], now: number): void {
        const membersByJob = groupMembers(reports);
        for (const [job, members] of membersByJob) {
            this.checkGang(job, members, now);
        }
        for (const job of this.observations.keys()) {
            if (!membersByJob.has(job)) {
                this.observations.delete(job);
            }
        }
    }

    /**
     * Records a violation if a member starts before all members are reserved and the decision is stored.
     *
     * @param reservation - The id of the reservation that starts.
     * @param reports - The reports of all workers.
     * @param isStored - Whether the decision to start the gang is stored.
     */
    checkStart(reservation: string, reports: readonly ReservationReport[], isStored: boolean): void {
        const reserved = reports.filter(report => report.id === reservation).length;
        if (reserved !== this.memberCount || !isStored) {
            this.violations.push(
                `The reservation '${reservation}' starts with ${reserved} of ${this.memberCount} members reserved; `
                    + `decision stored: ${isStored}.`,
            );
        }
    }

    private checkGang(job: string, members: readonly ReservationReport[], now: number): void {
        const observation = this.observations.get(job) ?? { incompleteSince: undefined };
        this.observations.set(job, observation);
        if (!members.some(isRunning) || members.length === this.memberCount) {
            observation.incompleteSince = undefined;
            return;
        }
        observation.incompleteSince ??= now;
        if (now - observation.incompleteSince > MAX_INCOMPLETE_MS) {
            this.violations.push(
                `The job '${job}' has run with ${members.length} of ${this.memberCount} members `
                    + `since ${observation.incompleteSince} ms.`,
            );
        }
    }
}

/** Groups the reports on members that hold accelerators by their jobs. */
function groupMembers(
    reports: readonly ReservationReport[],
): ReadonlyMap<string, readonly ReservationReport[]> {
    const membersByJob = new Map<string, ReservationReport[]>();
    for (const report of reports) {
        if (isRunning(report) || report.state === "reserved") {
            membersByJob.set(report.job, [...membersByJob.get(report.job) ?? [], report]);
        }
    }
    return membersByJob;
}

function isRunning(report: ReservationReport): boolean {
    return report.state === "running";
}
