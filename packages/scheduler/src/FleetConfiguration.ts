import type { QueueName } from "./ids.js";

/** Advice that a queue's policy demands before its steps are placed. */
export type AdvicePolicy = {
    /** Time that a decision takes beside its workers, in milliseconds. */
    readonly decisionMs: number;
    /** Time for each worker asked about, in milliseconds. */
    readonly perWorkerMs: number;
    /** Time for which an answer holds, in milliseconds. */
    readonly validityMs: number;
};

/** A queue of jobs, reached by host and path prefix. */
export type Queue = {
    readonly name: QueueName;
    readonly host: string;
    readonly prefix: string;
    /** Service whose workers run the queue's tasks. */
    readonly service: string;
    /** 0 comes first and may preempt others. */
    readonly priority: number;
    /** Failures of a task after which its job fails. */
    readonly attempts: number;
    /** Objective of a job's time as a multiple of its longest chain of work. */
    readonly stretch: number;
    /** Addition to the objective in milliseconds. */
    readonly objectiveMs: number;
    /** Whether callers need no key. */
    readonly open: boolean;
    readonly advice: AdvicePolicy | undefined;
};

/** A customer with its keys and its guarantee. */
export type Customer = {
    readonly name: string;
    readonly keys: readonly string[];
    /** Accelerators that its urgent jobs can always reclaim. */
    readonly guaranteedAccelerators: number;
};

/** A pool of workers. */
export type Service = {
    readonly name: string;
    /** Whether its workers refuse what does not fit. */
    readonly checksAdmission: boolean;
    /** Whether its machines are off until they are moved elsewhere. */
    readonly standby: boolean;
};

/** A configuration as the operator put it into force. */
export type FleetConfiguration = {
    readonly version: number;
    readonly queues: readonly Queue[];
    readonly customers: readonly Customer[];
    readonly services: readonly Service[];
    /** Largest body of a call in bytes. */
    readonly maxBodyBytes: number;
};
