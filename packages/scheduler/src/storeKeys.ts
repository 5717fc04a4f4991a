import { sha256Hex } from "@balsamward/schema/sha256Hex";

/** Keys and key prefixes in the store. Keys of records of one kind share a prefix. */
export const storeKeys = {
    owner: "balsamward/owner",
    term: "balsamward/term",
    roster: "balsamward/roster",
    runTimes: "balsamward/run-times",
    memberPrefix: "balsamward/members/",
    member: (node: string): string => `balsamward/members/${node}`,
    jobPrefix: "balsamward/jobs/",
    job: (id: string): string => `balsamward/jobs/${id}`,
    cancellation: (id: string): string => `balsamward/jobs/${id}/cancellation`,
    withdrawalPrefix: "balsamward/withdrawals/",
    /** Key of a customer's withdrawal of a job; the name of a customer may be longer than a key. */
    withdrawal: (id: string, customer: string): string =>
        `balsamward/withdrawals/${id}/${sha256Hex(customer)}`,
    progressPrefix: "balsamward/progress/",
    progress: (id: string): string => `balsamward/progress/${id}`,
    progressPartPrefix: (id: string): string => `balsamward/progress/${id}/`,
    progressPart: (id: string, part: number): string => `balsamward/progress/${id}/${part}`,
} as const;
