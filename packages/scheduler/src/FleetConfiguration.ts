import type { QueueName } from "./ids.js";

/** Policy of a queue whose steps need permission from the advice service before they are placed. */
export type AdvicePolicy = {
    /** Fixed time that a decision of the advice service takes, in milliseconds. */
    readonly decisionMs: number;
    /** Additional time that a decision takes for each worker in the request, in milliseconds. */
    readonly perWorkerMs: number;
    /** Time for which an answer is valid, in milliseconds. */
    readonly validityMs: number;
};

/** What a queue promises its jobs. */
export type QueueTerms = {
    /** Service whose workers run the queue's tasks. */
    readonly service: string;
    /** Rank of the queue; 0 is the highest priority, and its jobs may preempt others. */
    readonly priority: number;
    /** Number of failures of one task after which its job fails. */
    readonly attempts: number;
    /** Target for the duration of a job, as a multiple of its longest chain of dependent work. */
    readonly stretch: number;
    /** Time added to the target duration, in milliseconds. */
    readonly objectiveMs: number;
    readonly advice: AdvicePolicy | undefined;
};

/** A queue of jobs, which callers address by host and path prefix. */
export type Queue = QueueTerms & {
    readonly name: QueueName;
    readonly host: string;
    readonly prefix: string;
    /** Whether callers may use the queue without an API key. */
    readonly open: boolean;
};

/** A customer with its API keys and its guarantee. */
export type Customer = {
    readonly name: string;
    readonly keys: readonly string[];
    /** Number of accelerators that the customer's urgent jobs can always reclaim. */
    readonly guaranteedAccelerators: number;
};

/** A service, which is a pool of workers. */
export type Service = {
    readonly name: string;
    /** Whether its workers reject tasks that do not fit. */
    readonly checksAdmission: boolean;
    /** Whether its machines are off until they are moved elsewhere. */
    readonly standby: boolean;
};

/** The configuration that the operator has put into force. */
export type FleetConfiguration = {
    readonly version: number;
    readonly queues: readonly Queue[];
    readonly customers: readonly Customer[];
    readonly services: readonly Service[];
    /** Maximum size of a request body in bytes. */
    readonly maxBodyBytes: number;
};
