// Stand-in of the platform's control of machines: lists them and takes them down for their upkeep.

/**
 * Creates the control of the workers' machines. An upkeep takes `maintenanceMs`. `delayOrder` gets the machine and the
 * number of the order, and returns after how many milliseconds an order is carried out that gets no answer, or
 * `undefined` for one that is carried out and answered at once.
 */
export function createMachineControl({ workers, record, clock, wave, maintenanceMs, delayOrder }) {
    const control = {
        /** Machines that are down for their upkeep, and those that have had it. */
        down: new Set(),
        done: new Set(),
        orders: [],
        /** The upkeeps that began while as many machines as the wave allows were down. */
        excesses: [],
    };
    const fences = new Map();
    const findWorker = machine => workers.find(worker => worker.machine === machine);
    const begin = async machine => {
        const alsoDown = [...control.down];
        control.down.add(machine);
        record("upkeep-begins", { machine, alsoDown });
        if (alsoDown.length >= wave.maxCount) {
            control.excesses.push({ machine, alsoDown, at: clock() });
        }
        const worker = findWorker(machine);
        await worker.crash();
        setTimeout(async () => {
            control.down.delete(machine);
            control.done.add(machine);
            await worker.start();
        }, maintenanceMs);
    };
    const order = ({ machine }, fence) => {
        if (fence < (fences.get(machine) ?? 0)) {
            return { status: 409, body: { reason: "fence" } };
        }
        fences.set(machine, fence);
        if (control.done.has(machine) || control.down.has(machine)) {
            return { status: 200 };
        }
        void begin(machine);
        return { status: 200 };
    };
    control.handle = ({ method, url, headers, body }) => {
        if (method === "GET" && url.pathname === "/v1/machines") {
            return { status: 200, body: { machines: workers.map(listMachine(control)), nextToken: null } };
        }
        if (url.pathname !== "/v1/machine-upkeep" || !wave.machines.includes(body.machine)) {
            return { status: 400 };
        }
        control.orders.push({ machine: body.machine, at: clock() });
        const number = control.orders.filter(({ machine }) => machine === body.machine).length;
        const delayMs = delayOrder(body.machine, number);
        record("upkeep-ordered", { machine: body.machine, holder: headers["lease-holder"], delayMs });
        const fence = Number(headers["fencing-token"]);
        if (delayMs === undefined) {
            return order(body, fence);
        }
        setTimeout(() => order(body, fence), delayMs);
        return undefined;
    };
    return control;
}

function listMachine({ down }) {
    return ({ machine, service, zone, rack, capacity, id }) => ({
        machine,
        pool: service,
        state: down.has(machine) ? "upkeep" : "up",
        zone,
        labels: ["a", rack],
        capacity,
        id,
    });
}
