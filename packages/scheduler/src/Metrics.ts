import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from "prom-client";
import { createRunTimeMetrics } from "./runTimes/createRunTimeMetrics.js";

/** Interval at which the event loop's delay is sampled, in milliseconds. Long, since each sample wakes the process. */
const EVENT_LOOP_SAMPLE_MS = 1_000;

/** The metrics of a daemon. */
export type Metrics = ReturnType<typeof createMetrics>;

/**
 * Creates the metrics of a daemon in a separate registry.
 *
 * @returns The registry and its metrics.
 */
export function createMetrics() {
    const registry = new Registry();
    collectDefaultMetrics({ register: registry, eventLoopMonitoringPrecision: EVENT_LOOP_SAMPLE_MS });
    const registers = [registry];
    const counter = <Label extends string>(name: string, help: string, labelNames: readonly Label[]) =>
        new Counter<Label>({ name: `balsamward_${name}_total`, help, labelNames, registers });
    return {
        registry,
        callerAnswers: counter("caller_answers", "Answers to callers by call, status and reason.", [
            "call",
            "status",
            "reason",
        ]),
        callerLatency: new Histogram({
            name: "balsamward_caller_seconds",
            help: "Time from a call's arrival to its answer in seconds.",
            labelNames: ["call"] as const,
            buckets: [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5],
            registers,
        }),
        jobEvents: counter("job_events", "Jobs by event.", ["event"]),
        jobFailures: counter("job_failures", "Jobs that end as failed, by reason.", ["reason"]),
        starts: counter("starts", "Sent starts by outcome.", ["outcome"]),
        stops: counter("stops", "Stopped runs by reason.", ["reason"]),
        runEnds: counter("run_ends", "Ends that workers listed, by kind.", ["how"]),
        workerCrashes: counter(
            "worker_crashes",
            "Crashes of workers under tasks, by whether a task was alone.",
            [
                "alone",
            ],
        ),
        orderFaults: counter("order_faults", "Orders without success by order and reason.", [
            "order",
            "reason",
        ]),
        storeCalls: counter("store_calls", "Calls of the store by operation and result.", [
            "operation",
            "result",
        ]),
        relayedStoreCalls: counter("relayed_store_calls", "Store calls relayed through peers by result.", [
            "result",
        ]),
        peerCalls: counter("peer_calls", "Calls of peers by call and result.", ["call", "result"]),
        ownershipChanges: counter("ownership_changes", "Begun and ended terms of ownership by reason.", [
            "reason",
        ]),
        droppedLogLines: counter("dropped_log_lines", "Log lines dropped because the output was full.", []),
        configurationVersion: new Gauge({
            name: "balsamward_configuration_version",
            help: "Version of the configuration in force.",
            registers,
        }),
        configurationConfirmed: new Gauge({
            name: "balsamward_configuration_confirmed_timestamp_seconds",
            help: "Unix time at which the configuration in force was last known to be the newest.",
            registers,
        }),
        ...createEvacuationGauges(registers),
        ignoredRecords: counter("ignored_records", "Stored records that cannot be used, by record.", [
            "record",
        ]),
        ignoredWorkerEntries: new Gauge({
            name: "balsamward_ignored_worker_entries",
            help: "Store entries in the latest list of workers that do not describe a worker.",
            registers,
        }),
        jobsWithoutQueue: new Gauge({
            name: "balsamward_jobs_without_queue",
            help: "Active jobs whose queue is not configured, by the source of the terms that apply.",
            labelNames: ["terms"] as const,
            registers,
        }),
        ...createRunTimeMetrics(registry),
        owner: new Gauge({ name: "balsamward_owner", help: "1 while the daemon schedules.", registers }),
    };
}

function createEvacuationGauges(registers: Registry[]) {
    return {
        evacuationRevision: new Gauge({
            name: "balsamward_evacuation_revision",
            help: "Store revision of the request to evacuate a data centre, for each that is evacuated.",
            labelNames: ["data_centre"] as const,
            registers,
        }),
        evacuationBegan: new Gauge({
            name: "balsamward_evacuation_began_timestamp_seconds",
            help: "Unix time at which the daemon learned of the evacuation of a data centre.",
            labelNames: ["data_centre"] as const,
            registers,
        }),
        evacuatedWorkers: new Gauge({
            name: "balsamward_evacuated_workers",
            help: "Listed workers that the owner sends no work to, since their data centre is evacuated.",
            registers,
        }),
    };
}
