// Stand-in of a worker: runs tasks under a lease, refuses what does not fit, lists runs and ends.
import { startServer } from "./http.mjs";

const HEARTBEAT_MS = 1_500;

/**
 * Creates a worker. `options` holds `id`, `machine`, `host`, `service`, `rack`, `capacity`, `bounds`, `store`, `clock`,
 * `record` and `workMs`, which returns the time that a task takes, or infinity for one that lasts.
 */
export function createWorker(options) {
    const worker = {
        ...options,
        port: 0,
        isUp: false,
        server: undefined,
        timers: [],
        /** Whether the worker is cut off from all machines. */
        isCut: false,
        start: () => startLife(worker),
        crash: () => endLife(worker),
        running: new Map(),
    };
    return worker;
}

async function startLife(worker) {
    Object.assign(worker, {
        isUp: true,
        born: Date.now(),
        bornAt: worker.clock(),
        fence: 0,
        leaseEndMs: 0,
        running: new Map(),
        ended: [],
        lastEnd: 0,
        highestEnded: new Map(),
        waiters: new Set(),
        seq: 0,
    });
    worker.server = await startServer(worker.host, worker.port, call => handle(worker, call));
    worker.port = worker.server.port;
    register(worker);
    worker.timers = [
        setInterval(() => register(worker), HEARTBEAT_MS),
        setInterval(() => advance(worker), 10),
    ];
    worker.record("worker-starts", { worker: worker.id, machine: worker.machine, born: worker.born });
}

async function endLife(worker) {
    worker.record("worker-crashes", { worker: worker.id, running: [...worker.running.keys()] });
    worker.isUp = false;
    worker.timers.forEach(clearInterval);
    worker.running.clear();
    await worker.server.close();
}

function register(worker) {
    worker.seq += 1;
    worker.store.put(`servers/${worker.id}`, {
        service: worker.service,
        address: `${worker.host}:${worker.port}`,
        zone: worker.zone,
        version: "v1",
        slots: 8,
        state: "ready",
        coldMs: 0,
        seq: worker.seq,
        born: worker.born,
        machine: worker.machine,
        capacity: worker.capacity,
        labels: ["a", worker.rack],
    });
}

function clockMs(worker) {
    return Math.floor(worker.clock() - worker.bornAt);
}

/** Handles a call; one that arrives at a worker that is cut off is lost, as is an answer during the cut. */
async function handle(worker, call) {
    const answer = worker.isCut ? undefined : await execute(worker, call);
    return worker.isCut ? undefined : answer;
}

function execute(worker, { url, headers, body }) {
    const target = headers["target-instance"];
    if (target !== undefined && target !== worker.id) {
        return { status: 421, body: { clockMs: clockMs(worker) } };
    }
    if ((body.fence ?? 0) < worker.fence) {
        return { status: 409, body: { clockMs: clockMs(worker), reason: "fence" } };
    }
    worker.fence = body.fence ?? 0;
    switch (url.pathname) {
        case "/v1/run-start":
            return startRun(worker, body);
        case "/v1/run-stop":
            return stopRun(worker, body);
        case "/v1/hold":
            return hold(worker, body);
        case "/v1/pace":
            return { status: 200, body: { clockMs: clockMs(worker) } };
        default:
            return { status: 404 };
    }
}

function extendLease(worker, deadlineMs = 0) {
    const latest = clockMs(worker) + worker.bounds.maxHoldMs;
    worker.leaseEndMs = Math.max(worker.leaseEndMs, Math.min(deadlineMs, latest));
}

function startRun(worker, { task, run, deadlineMs, checkpoint = "" }) {
    const refuse = reason => ({ status: 409, body: { clockMs: clockMs(worker), reason } });
    const current = worker.running.get(task);
    if (current?.run === run) {
        extendLease(worker, deadlineMs);
        return { status: 200, body: { clockMs: clockMs(worker) } };
    }
    if (current !== undefined || run <= (worker.highestEnded.get(task) ?? 0)) {
        extendLease(worker, deadlineMs);
        return refuse("old");
    }
    if (deadlineMs <= clockMs(worker)) {
        return refuse("late");
    }
    if (!worker.hasRoom(worker, task)) {
        extendLease(worker, deadlineMs);
        return refuse("room");
    }
    extendLease(worker, deadlineMs);
    const needMs = worker.workMs(task);
    worker.running.set(task, {
        task,
        run,
        startedAt: worker.clock(),
        needMs,
        stopAt: Infinity,
        saved: checkpoint,
        saveCount: 0,
    });
    worker.record("run-begins", { worker: worker.id, task, run });
    return { status: 200, body: { clockMs: clockMs(worker) } };
}

function stopRun(worker, { task, run }) {
    const current = worker.running.get(task);
    if (current !== undefined && current.run <= run) {
        current.stopAt = Math.min(current.stopAt, worker.clock() + worker.bounds.stopTimeoutMs / 3);
    }
    worker.highestEnded.set(task, Math.max(run, worker.highestEnded.get(task) ?? 0));
    return { status: 200, body: { clockMs: clockMs(worker) } };
}

async function hold(worker, { lastSeen = 0, deadlineMs, waitMs = 0 }) {
    extendLease(worker, deadlineMs);
    worker.ended = worker.ended.filter(([number]) => number > lastSeen);
    if (worker.ended.length === 0 && waitMs > 0) {
        await waitForEnd(worker, waitMs);
    }
    const now = worker.clock();
    return {
        status: 200,
        body: {
            clockMs: clockMs(worker),
            born: worker.born,
            running: [...worker.running.values()].map(({ task, run, startedAt, needMs, saved }) => [
                task,
                run,
                saved,
                Number.isFinite(needMs) ? Math.min(100, Math.floor(100 * (now - startedAt) / needMs)) : 100,
                0,
            ]),
            ended: worker.ended.slice(0, 500),
        },
    };
}

function waitForEnd({ waiters }, timeoutMs) {
    return new Promise(resolve => {
        const finish = () => {
            clearTimeout(timer);
            waiters.delete(finish);
            resolve();
        };
        const timer = setTimeout(finish, timeoutMs);
        waiters.add(finish);
    });
}

/** Gives each run a new checkpoint for each interval of work, on workers that have such tasks. */
function saveCheckpoints({ running, saveEveryMs, composeCheckpoint }, now) {
    if (saveEveryMs === undefined) {
        return;
    }
    for (const run of running.values()) {
        const count = Math.floor((now - run.startedAt) / saveEveryMs);
        if (count > run.saveCount) {
            run.saveCount = count;
            run.saved = composeCheckpoint(run.task, run.run, count);
        }
    }
}

/** Ends the runs whose work is done, that were stopped, or whose lease has expired. */
function advance(worker) {
    const now = worker.clock();
    saveCheckpoints(worker, now);
    const isLapsed = clockMs(worker) >= worker.leaseEndMs;
    for (const run of [...worker.running.values()]) {
        if (isLapsed) {
            endRun(worker, run, "lapsed");
        }
        else if (now >= run.stopAt) {
            endRun(worker, run, "stopped");
        }
        else if (now - run.startedAt >= run.needMs) {
            endRun(worker, run, "done");
        }
    }
}

function endRun(worker, { task, run, saved }, how) {
    worker.running.delete(task);
    worker.lastEnd += 1;
    worker.ended.push([worker.lastEnd, task, run, how, saved]);
    worker.highestEnded.set(task, Math.max(run, worker.highestEnded.get(task) ?? 0));
    worker.stopCount = (worker.stopCount ?? 0) + (how === "stopped" ? 1 : 0);
    worker.record("run-ends", { worker: worker.id, task, run, how });
    [...worker.waiters].forEach(finish => finish());
}
