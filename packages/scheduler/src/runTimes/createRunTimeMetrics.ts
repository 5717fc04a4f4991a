import type { Registry } from "prom-client";
import { Counter, Gauge, Histogram } from "prom-client";

/**
 * Creates the metrics of the learned run times.
 *
 * @param registry - The daemon's registry.
 * @returns The metrics.
 */
export function createRunTimeMetrics(registry: Registry) {
    const registers = [registry];
    return {
        runTimeErrors: new Histogram({
            name: "balsamward_run_time_error_ratio",
            help: "Run times of complete runs divided by the forecast median for their workers, by queue.",
            labelNames: ["queue"] as const,
            buckets: [0.25, 0.5, 0.7, 0.85, 1, 1.2, 1.5, 2, 4, 8],
            registers,
        }),
        forecastRuns: new Counter({
            name: "balsamward_forecast_runs_total",
            help: "Complete runs by queue and whether they ended within the high quantile of their forecast.",
            labelNames: ["queue", "within"] as const,
            registers,
        }),
        workersBySpeed: new Gauge({
            name: "balsamward_workers_by_speed",
            help: "Workers by their relative run time: fast (below 0.8), typical or slow (above 1.25).",
            labelNames: ["speed"] as const,
            registers,
        }),
        runTimeSnapshots: new Counter({
            name: "balsamward_run_time_snapshots_total",
            help: "Reads and writes of the snapshot of the learned run times by result.",
            labelNames: ["operation", "result"] as const,
            registers,
        }),
    };
}
