// A stand-in of a worker (PROTOCOL.md, "Running tasks" and "Service discovery").
import { startJsonServer, Waiters } from "./jsonServer.mjs";

const HEARTBEAT_INTERVAL_MS = 1_500;
const MAX_LISTED_ENDS = 500;
const STOP_MS = 300;

/** Time after which a task that lasts is at work, in milliseconds. */
const STARTUP_MS = 300;

/** Returns the progress of a task; one that lasts is at 100 once it is at work. */
export function getPercent(elapsedMs, workMs) {
    if (workMs === Infinity) {
        return elapsedMs >= STARTUP_MS ? 100 : 0;
    }
    return Math.min(100, Math.floor(100 * elapsedMs / workMs));
}

/**
 * Runs tasks under a lease. `options` are `id`, `machine`, `host`, `service`, `zone`, `store`, `record`, `capacity`,
 * `labels`, `slots` (how many runs it takes; infinite if it doesn't guard its capacity), `maxHoldMs`, and
 * `workMsOf(spec)`, the time that a task works; infinite for one that lasts.
 */
export class Worker {
    running = new Map();
    highestEnded = new Map();
    waiters = new Waiters();
    ends = [];
    endCount = 0;
    fence = 0;
    leaseEndMs = 0;
    beats = 0;
    isUp = false;
    /** Decides what happens to a call: `undefined` for the usual, `{ kind: "late", afterMs }` to carry it out late. */
    disturb = () => undefined;

    constructor(options) {
        this.options = options;
    }

    /** Starts the worker on a free port, or again on the port that it had. */
    async start(port = 0) {
        this.isUp = true;
        this.born = Date.now();
        this.bornAt = performance.now();
        this.server = await startJsonServer(this.options.host, call => this.receive(call), port);
        this.register();
        this.timers = [
            setInterval(() => this.register(), HEARTBEAT_INTERVAL_MS),
            setInterval(() => this.advance(), 10),
        ];
        const { id, capacity, labels, record } = this.options;
        record.note("worker is up", {
            worker: id,
            address: this.server.address,
            born: this.born,
            capacity,
            labels,
        });
    }

    /** Ends the process with all that runs on it; nothing is told to anyone. */
    async crash() {
        if (!this.isUp) {
            return;
        }
        this.isUp = false;
        this.timers.forEach(clearInterval);
        const { id, record } = this.options;
        record.note("worker crashes", { worker: id, runs: this.running.size });
        for (const { task, run } of this.running.values()) {
            record.noteEnd({ task, run, worker: id, how: "crash" });
        }
        this.running.clear();
        await this.server.close();
    }

    /** Starts the worker again under its id; it knows nothing of before, and may be of another kind. */
    async restart({ isAtSameAddress = true, ...changes } = {}) {
        await this.crash();
        const port = isAtSameAddress ? Number(this.server.address.split(":")[1]) : 0;
        this.options = { ...this.options, ...changes };
        this.highestEnded.clear();
        this.ends = [];
        this.endCount = 0;
        this.fence = 0;
        this.leaseEndMs = 0;
        this.beats = 0;
        await this.start(port);
    }

    /** Ends the worker, whose entry is removed. */
    async leave() {
        await this.crash();
        this.options.store.remove(`servers/${this.options.id}`);
    }

    /** Writes the entry; one that the store carries out late is as it was when it was sent. */
    register({ lateMs = 0 } = {}) {
        const { id, store } = this.options;
        this.beats += 1;
        const entry = this.encodeEntry();
        if (lateMs === 0) {
            store.put(`servers/${id}`, entry);
        }
        else {
            setTimeout(() => store.put(`servers/${id}`, entry), lateMs);
        }
    }

    encodeEntry() {
        const { machine, capacity, service, zone, labels } = this.options;
        return JSON.stringify({
            service,
            address: this.server.address,
            zone,
            version: "v1",
            slots: 8,
            state: "ready",
            coldMs: 0,
            seq: this.beats,
            born: this.born,
            machine,
            capacity,
            labels,
            clockMs: this.clockMs(),
        });
    }

    clockMs() {
        return Math.floor(performance.now() - this.bornAt);
    }

    receive(call) {
        const disturbance = this.disturb(call);
        if (disturbance?.kind === "late") {
            setTimeout(() => void this.carryOutLate(call), disturbance.afterMs);
            return undefined;
        }
        return this.handle(call);
    }

    /** Carries out an order that had no answer, if the worker is up then. */
    async carryOutLate(call) {
        if (this.isUp) {
            const answer = await this.handle(call);
            const { task, run } = call.body;
            this.options.record.note("late order is carried out", {
                worker: this.options.id,
                task,
                run,
                ...answer,
            });
        }
    }

    handle({ url, headers, body }) {
        const target = headers["target-instance"];
        if (target !== undefined && target !== this.options.id) {
            return { status: 421, body: { clockMs: this.clockMs() } };
        }
        const fence = body.fence ?? 0;
        if (fence < this.fence) {
            return this.refuse("fence");
        }
        this.fence = fence;
        switch (url.pathname) {
            case "/v1/run-start":
                return this.startRun(body);
            case "/v1/run-stop":
                return this.stopRun(body);
            case "/v1/hold":
                return this.hold(body);
            case "/v1/pace":
                return this.confirm();
            default:
                return { status: 404 };
        }
    }

    confirm() {
        return { status: 200, body: { clockMs: this.clockMs() } };
    }

    refuse(reason) {
        return { status: 409, body: { clockMs: this.clockMs(), reason } };
    }

    extendLease(deadlineMs) {
        this.leaseEndMs = Math.max(
            this.leaseEndMs,
            Math.min(deadlineMs, this.clockMs() + this.options.maxHoldMs),
        );
    }

    startRun({ task, run, spec, deadlineMs, fence }) {
        const { id, record, workMsOf, slots = 8, labels, capacity } = this.options;
        const current = this.running.get(task);
        if (deadlineMs <= this.clockMs()) {
            return this.refuse("late");
        }
        this.extendLease(deadlineMs);
        if (current?.run === run) {
            return this.confirm();
        }
        if (current !== undefined || run <= (this.highestEnded.get(task) ?? 0)) {
            return this.refuse("old");
        }
        if (this.running.size >= slots) {
            return this.refuse("room");
        }
        const begunAt = performance.now();
        this.running.set(task, { task, run, begunAt, workMs: workMsOf(spec), stopsAt: Infinity });
        record.noteStart({
            task,
            run,
            worker: id,
            fence,
            spec,
            labels,
            capacity,
            beside: this.running.size - 1,
        });
        return this.confirm();
    }

    stopRun({ task, run }) {
        const current = this.running.get(task);
        if (current !== undefined && current.run <= run) {
            current.stopsAt = Math.min(current.stopsAt, performance.now() + STOP_MS);
        }
        this.highestEnded.set(task, Math.max(run, this.highestEnded.get(task) ?? 0));
        return this.confirm();
    }

    async hold({ lastSeen = 0, waitMs = 0, deadlineMs = 0 }) {
        this.extendLease(deadlineMs);
        this.ends = this.ends.filter(([number]) => number > lastSeen);
        if (this.ends.length === 0 && waitMs > 0) {
            await this.waiters.wait(waitMs);
        }
        const now = performance.now();
        return {
            status: 200,
            body: {
                clockMs: this.clockMs(),
                born: this.born,
                running: [...this.running.values()].map(({ task, run, begunAt, workMs }) => [
                    task,
                    run,
                    "",
                    getPercent(now - begunAt, workMs),
                    0,
                ]),
                ended: this.ends.slice(0, MAX_LISTED_ENDS),
            },
        };
    }

    advance() {
        const now = performance.now();
        const hasLapsed = this.clockMs() >= this.leaseEndMs;
        for (const run of [...this.running.values()]) {
            if (hasLapsed) {
                this.endRun(run, "lapsed");
            }
            else if (now >= run.stopsAt) {
                this.endRun(run, "stopped");
            }
            else if (now - run.begunAt >= run.workMs) {
                this.endRun(run, "done");
            }
        }
    }

    endRun({ task, run }, how) {
        this.running.delete(task);
        this.endCount += 1;
        this.ends.push([this.endCount, task, run, how, ""]);
        this.highestEnded.set(task, Math.max(run, this.highestEnded.get(task) ?? 0));
        this.options.record.noteEnd({ task, run, worker: this.options.id, how });
        this.waiters.wake();
    }
}
