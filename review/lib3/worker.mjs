// A stand-in of a worker, as a process of its own. Its options are the JSON text in its first argument. It writes one
// JSON line for each start and each end of a run.
import { request } from "node:http";
import { startJsonServer } from "./httpServer.mjs";

const options = JSON.parse(process.argv[2]);
const { id, machine, host, port, service, zone, labels, capacity, storeAddress, maxHoldMs, stopMs } = options;

const HEARTBEAT_MS = 1_500;
const TICK_MS = 10;
const MAX_LISTED_ENDS = 500;

const born = Date.now();
const bornAt = performance.now();
const running = new Map();
const highestEnded = new Map();
const waiters = new Set();
let ends = [];
let endCount = 0;
let fence = 0;
let leaseEndMs = 0;
let beats = 0;

function log(event, details) {
    process.stdout.write(`${JSON.stringify({ worker: id, event, ...details })}\n`);
}

function clockMs() {
    return Math.floor(performance.now() - bornAt);
}

/** Writes the worker's entry to the store. */
function register() {
    beats += 1;
    const entry = {
        service,
        address: `${host}:${port}`,
        zone,
        version: "v1",
        slots: 8,
        state: "ready",
        coldMs: 0,
        seq: beats,
        born,
        machine,
        capacity,
        labels,
        clockMs: clockMs(),
    };
    const call = request(`http://${storeAddress}/v1/register`, { method: "POST" }, res => res.resume());
    call.on("error", () => {});
    call.end(JSON.stringify({ id, entry }));
}

/** What a task does, from the spec of its job: the stand-in of a client writes it as JSON. */
function readBehaviour(task, spec) {
    const step = JSON.parse(spec).steps[Number(task.split(".")[2])];
    return { workMs: 1_000, lasting: false, cpu: 0, memMb: 0, gpus: 0, saves: false, ...step };
}

function getFree() {
    const free = { ...capacity };
    for (const { behaviour } of running.values()) {
        free.cpu -= behaviour.cpu;
        free.memMb -= behaviour.memMb;
        free.gpus -= behaviour.gpus;
    }
    return free;
}

function extendLease(deadlineMs) {
    if (typeof deadlineMs === "number") {
        leaseEndMs = Math.max(leaseEndMs, Math.min(deadlineMs, clockMs() + maxHoldMs));
    }
}

function refuse(reason) {
    return { status: 409, body: { clockMs: clockMs(), reason } };
}

function confirm() {
    return { status: 200, body: { clockMs: clockMs() } };
}

function startRun({ task, run, spec, deadlineMs, checkpoint = "" }) {
    const known = running.get(task);
    if (known?.run === run) {
        extendLease(deadlineMs);
        return confirm();
    }
    if (deadlineMs <= clockMs()) {
        return refuse("late");
    }
    extendLease(deadlineMs);
    if (known !== undefined || run <= (highestEnded.get(task) ?? 0)) {
        return refuse("old");
    }
    const behaviour = readBehaviour(task, spec);
    const free = getFree();
    if (free.cpu < behaviour.cpu || free.memMb < behaviour.memMb || free.gpus < behaviour.gpus) {
        return refuse("room");
    }
    running.set(task, { task, run, behaviour, checkpoint, startedAt: performance.now(), stopsAt: Infinity });
    log("start", { task, run, checkpoint });
    return confirm();
}

function stopRun({ task, run }) {
    highestEnded.set(task, Math.max(run, highestEnded.get(task) ?? 0));
    const known = running.get(task);
    if (known !== undefined && known.run <= run) {
        known.stopsAt = Math.min(known.stopsAt, performance.now() + stopMs);
        log("stop-order", { task, run: known.run, percent: getPercent(known) });
    }
    return confirm();
}

/** A task that lasts is at work, at 100 percent, after a short start-up. */
function getPercent({ startedAt, behaviour: { workMs } }) {
    return Math.min(100, Math.floor((performance.now() - startedAt) * 100 / workMs));
}

function endRun(known, how) {
    running.delete(known.task);
    highestEnded.set(known.task, Math.max(known.run, highestEnded.get(known.task) ?? 0));
    endCount += 1;
    ends.push([endCount, known.task, known.run, how, known.checkpoint]);
    log("end", { task: known.task, run: known.run, how, percent: getPercent(known) });
    [...waiters].forEach(wake => wake());
}

async function hold({ deadlineMs, lastSeen = 0, waitMs = 0 }) {
    extendLease(deadlineMs);
    ends = ends.filter(([number]) => number > lastSeen);
    if (ends.length === 0 && waitMs > 0) {
        await new Promise(resolve => {
            const wake = () => {
                clearTimeout(timer);
                waiters.delete(wake);
                resolve();
            };
            const timer = setTimeout(wake, Math.min(waitMs, 2_000));
            waiters.add(wake);
        });
    }
    const rows = [...running.values()].map(known => [
        known.task,
        known.run,
        known.checkpoint,
        getPercent(known),
        0,
    ]);
    return {
        status: 200,
        body: { clockMs: clockMs(), born, running: rows, ended: ends.slice(0, MAX_LISTED_ENDS) },
    };
}

function handle({ url, headers, body }) {
    const target = headers["target-instance"];
    if (target !== undefined && target !== id) {
        return { status: 421, body: { clockMs: clockMs() } };
    }
    if ((body.fence ?? 0) < fence) {
        return refuse("fence");
    }
    fence = body.fence ?? 0;
    switch (url.pathname) {
        case "/v1/run-start":
            return startRun(body);
        case "/v1/run-stop":
            return stopRun(body);
        case "/v1/hold":
            return hold(body);
        case "/v1/pace":
            return confirm();
        default:
            return { status: 404 };
    }
}

function tick() {
    const now = performance.now();
    const hasLapsed = clockMs() >= leaseEndMs;
    for (const known of [...running.values()]) {
        if (hasLapsed) {
            endRun(known, "lapsed");
        }
        else if (now >= known.stopsAt) {
            endRun(known, "stopped");
        }
        else if (!known.behaviour.lasting && now - known.startedAt >= known.behaviour.workMs) {
            endRun(known, "done");
        }
    }
}

// The process ends with the one that started it.
process.stdin.on("end", () => process.exit(0)).resume();
await startJsonServer(host, handle, port);
register();
setInterval(register, HEARTBEAT_MS);
setInterval(tick, TICK_MS);
log("up", { born });
