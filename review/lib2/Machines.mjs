// A stand-in of the platform's control of machines (PROTOCOL.md, "Machines").
import { startJsonServer } from "./jsonServer.mjs";

const UPKEEP_MS = 2_000;

/** Carries out upkeep. `options` are `workers`, one for each machine, and `record`. */
export class Machines {
    states = new Map();
    done = new Set();
    fences = new Map();
    lives = 0;
    /** Upkeeps that have begun: machine, and how many machines of the wave were in theirs before. */
    begins = [];

    constructor({ workers, record }) {
        this.workers = new Map(workers.map(worker => [worker.options.machine, worker]));
        this.record = record;
    }

    async start(host) {
        this.server = await startJsonServer(host, call => this.handle(call));
        this.address = this.server.address;
    }

    async close() {
        await this.server.close();
    }

    handle(call) {
        switch (`${call.method} ${call.url.pathname}`) {
            case "GET /v1/machines":
                return { status: 200, body: { machines: this.list(), nextToken: null } };
            case "POST /v1/machine-upkeep":
                return this.carryOut(call);
            default:
                return { status: 400 };
        }
    }

    list() {
        return [...this.workers].map(([machine, { options, isUp }]) => ({
            machine,
            pool: options.service,
            state: this.states.get(machine) ?? "up",
            zone: options.zone,
            labels: options.labels,
            capacity: options.capacity,
            ...(isUp ? { id: options.id } : {}),
        }));
    }

    carryOut({ headers, body: { machine, wave } }) {
        const answer = this.decide(machine, wave, Number(headers["fencing-token"]));
        this.record.note("order for upkeep is carried out", {
            machine,
            wave,
            holder: headers["lease-holder"],
            fence: headers["fencing-token"],
            ...answer,
        });
        return answer;
    }

    decide(machine, wave, fence) {
        if (!this.workers.has(machine)) {
            return { status: 400 };
        }
        if (fence < (this.fences.get(machine) ?? 0)) {
            return { status: 409, body: { reason: "fence" } };
        }
        this.fences.set(machine, fence);
        if (this.done.has(`${wave} ${machine}`)) {
            return { status: 200 };
        }
        if (this.states.has(machine)) {
            return { status: 409, body: { reason: "busy" } };
        }
        this.begin(machine, wave);
        return { status: 200 };
    }

    begin(machine, wave) {
        const downBefore = [...this.states.values()].filter(state => state === "upkeep").length;
        const worker = this.workers.get(machine);
        this.begins.push({
            machine,
            downBefore,
            at: performance.now(),
            running: [...worker.running.values()],
        });
        this.record.note("upkeep begins", { machine, downBefore });
        this.done.add(`${wave} ${machine}`);
        this.states.set(machine, "upkeep");
        void worker.leave();
        setTimeout(() => void this.end(machine, worker), UPKEEP_MS);
    }

    async end(machine, worker) {
        this.lives += 1;
        await worker.restart({ isAtSameAddress: false, id: `i-100000${this.lives}` });
        this.states.delete(machine);
        this.record.note("upkeep ends", { machine });
    }
}
