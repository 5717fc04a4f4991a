import polka from "polka";
import { getPathParameter } from "./_lib/getPathParameter.js";
import { readJson } from "./_lib/readBody.js";
import { sendJson } from "./_lib/sendJson.js";
import { serveApp } from "./_lib/serveApp.js";
import type { EndpointFaults, RunningEndpoint } from "./startEndpoint.js";
import { startEndpoint } from "./startEndpoint.js";
import type { RunningVmList } from "./startVmList.js";
import { startVmList } from "./startVmList.js";
import type { RunningWorkers } from "./startWorkers.js";
import { startWorkers } from "./startWorkers.js";
import type { Vm } from "./Vm.js";

/** The workers of one data centre. */
export type WorkerGroup = {
    readonly dataCentre: string;
    /** Number of workers in the data centre. */
    readonly workerCount: number;
    readonly workersPerRack: number;
    readonly acceleratorsPerWorker: number;
};

/** Options of `startFleet`. */
export type StartFleetOptions = {
    /** Port of the VM list; any free port by default. */
    readonly vmListPort?: number;
    /** Port of the server that injects faults into endpoints; any free port by default. */
    readonly controlPort?: number;
    /** Time in milliseconds that a request to an endpoint takes; 2 by default. */
    readonly serviceMs?: number;
    /** Time in milliseconds by which the reported usage lags behind the clock; 0 by default. */
    readonly usageLagMs?: number;
    /** Time in milliseconds after which readers see a change of the VM list; 0 by default. */
    readonly vmListLagMs?: number;
    /** Whether to start an endpoint beside each worker; true by default. */
    readonly startsEndpoints?: boolean;
};

/** A running fake fleet. */
export type RunningFleet = {
    readonly vmList: RunningVmList;
    readonly agents: RunningWorkers;
    readonly endpoints: ReadonlyMap<string, RunningEndpoint>;
    /** Base address of the server that injects faults into endpoints. */
    readonly controlUrl: string;
    readonly close: () => Promise<void>;
};

/**
 * Starts a fake fleet: worker agents, endpoints and the VM list.
 *
 * @param groups - The workers of each data centre; each has an endpoint beside it unless the options say otherwise.
 * @param options - Ports, service time and lags, and whether to start endpoints.
 * @returns The running fleet.
 *
 * @example
 * const fleet = await startFleet([
 *     { dataCentre: "recife", workerCount: 11, workersPerRack: 8, acceleratorsPerWorker: 8 },
 * ]);
 */
export async function startFleet(
    groups: readonly WorkerGroup[],
    options: StartFleetOptions = {},
): Promise<RunningFleet> {
    const workerEntries = groups.flatMap(group =>
        Array.from(
            { length: group.workerCount },
            (_, index) => ({ group, index, name: `${group.dataCentre}-w${index}` }),
        )
    );
    const agents = await startWorkers(workerEntries.map(entry => entry.name), {
        usageLagMs: options.usageLagMs ?? 0,
    });
    const endpoints = new Map<string, RunningEndpoint>();
    const vms: Vm[] = [];
    for (const { group, index, name } of workerEntries) {
        const rack = Math.floor(index / group.workersPerRack);
        const commonFields = { dataCentre: group.dataCentre, rack, state: "live" } as const;
        const address = `${agents.url}/workers/${name}`;
        vms.push({
            ...commonFields,
            id: name,
            role: "worker",
            address,
            accelerators: group.acceleratorsPerWorker,
        });
        if (options.startsEndpoints !== false) {
            const id = `${group.dataCentre}-e${index}`;
            const endpoint = await startEndpoint(id, { serviceMs: options.serviceMs ?? 2 });
            endpoints.set(id, endpoint);
            vms.push({ ...commonFields, id, role: "endpoint", address: endpoint.url, accelerators: 0 });
        }
    }
    const vmList = await startVmList(vms, { port: options.vmListPort ?? 0, lagMs: options.vmListLagMs ?? 0 });
    const control = await serveApp(createControlApp(endpoints), options.controlPort ?? 0);
    const close = async () => {
        await Promise.all([control.close(), vmList.close(), agents.close()]);
        await Promise.all([...endpoints.values()].map(endpoint => endpoint.close()));
    };
    return { vmList, agents, endpoints, controlUrl: control.url, close };
}

function createControlApp(endpoints: ReadonlyMap<string, RunningEndpoint>) {
    const app = polka();
    app.get("/control/executions", (req, res) => {
        sendJson(
            res,
            200,
            [...endpoints].flatMap(([endpoint, { executions }]) =>
                executions.map(execution => ({ endpoint, ...execution }))
            ),
        );
    });
    app.post("/control/endpoints/:id", async (req, res) => {
        const endpoint = endpoints.get(getPathParameter(req, "id"));
        Object.assign(endpoint?.faults ?? {}, await readJson<Partial<EndpointFaults>>(req));
        sendJson(res, endpoint === undefined ? 404 : 200, endpoint?.faults ?? {});
    });
    return app;
}
