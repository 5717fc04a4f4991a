import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from "prom-client";
import { EVENT_LOOP_SAMPLE_INTERVAL_MS } from "./constants.js";

/** The metrics of a daemon and their registry. */
export type Metrics = ReturnType<typeof createMetrics>;

/**
 * Creates the metrics of a daemon in a separate registry.
 *
 * @returns The registry and its metrics.
 *
 * @example
 * createMetrics().outcomes.inc({ kind: "walk-in", outcome: "completed", reason: "none" });
 */
export function createMetrics() {
    const registry = new Registry();
    collectDefaultMetrics({
        register: registry,
        eventLoopMonitoringPrecision: EVENT_LOOP_SAMPLE_INTERVAL_MS,
    });
    const registers = [registry];
    return {
        registry,
        outcomes: new Counter({
            name: "balsamward_outcomes_total",
            help: "Answers to callers by kind of work, outcome and reason.",
            labelNames: ["kind", "outcome", "reason"] as const,
            registers,
        }),
        retries: new Counter({
            name: "balsamward_retries_total",
            help: "Repeated attempts at endpoints by reason.",
            labelNames: ["reason"] as const,
            registers,
        }),
        requestSeconds: new Histogram({
            name: "balsamward_request_seconds",
            help: "Time from a request's arrival to its answer in seconds.",
            labelNames: ["kind"] as const,
            buckets: [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10],
            registers,
        }),
        storeCalls: new Counter({
            name: "balsamward_store_calls_total",
            help: "Calls to the key-value service by operation and result.",
            labelNames: ["operation", "result"] as const,
            registers,
        }),
        gangEvents: new Counter({
            name: "balsamward_gang_events_total",
            help: "Steps in the life of gangs by event and reason.",
            labelNames: ["event", "reason"] as const,
            registers,
        }),
        unaccountedMs: new Counter({
            name: "balsamward_unaccounted_accelerator_milliseconds_total",
            help: "Accelerator-milliseconds of reservations that belong to no known job.",
            registers,
        }),
        peerCalls: new Counter({
            name: "balsamward_peer_calls_total",
            help: "Heartbeats to peers by result.",
            labelNames: ["result"] as const,
            registers,
        }),
        peerBytes: new Counter({
            name: "balsamward_peer_bytes_total",
            help: "Bytes on connections that peers opened to the daemon, by direction.",
            labelNames: ["direction"] as const,
            registers,
        }),
        configurationGeneration: new Gauge({
            name: "balsamward_configuration_generation",
            help: "Generation of the configuration in force.",
            registers,
        }),
        ownedCells: new Gauge({
            name: "balsamward_owned_cells",
            help: "Cells that the daemon owns.",
            registers,
        }),
        guaranteeShortfalls: new Gauge({
            name: "balsamward_guarantee_shortfall_gangs",
            help: "Guaranteed gangs that cannot be reclaimed now, by cell.",
            labelNames: ["cell"] as const,
            registers,
        }),
    };
}
