// A stand-in of the platform's metadata store (PROTOCOL.md, "The platform's metadata store").
import { startJsonServer, Waiters } from "./jsonServer.mjs";

const PAGE_ITEMS = 500;
const MIN_TTL_MS = 1_000;

/** Keeps all of its history; loses nothing that it has acknowledged. */
export class Store {
    items = new Map();
    leases = new Map();
    events = [];
    waiters = new Waiters();
    revision = 100;
    leaseCount = 0;
    writes = 0;
    reads = 0;
    /**
     * Decides what happens to a call before it is carried out: `undefined` for the usual, `{ kind: "late", afterMs }`
     * to carry it out later without an answer, `{ kind: "lost" }` to carry it out without an answer.
     */
    disturb = () => undefined;

    async start(host) {
        this.timer = setInterval(() => this.expireLeases(), 20);
        this.server = await startJsonServer(host, call => this.handle(call));
        this.address = this.server.address;
    }

    async close() {
        clearInterval(this.timer);
        await this.server.close();
    }

    /** Writes a text as the operator or a worker does. */
    put(key, text) {
        this.change([{ key, value: Buffer.from(text).toString("base64"), lease: 0 }], []);
    }

    remove(key) {
        this.change([], [key]);
    }

    read(key) {
        const item = this.items.get(key);
        return item === undefined ? undefined : Buffer.from(item.value, "base64").toString("utf8");
    }

    async handle(call) {
        const disturbance = this.disturb(call);
        switch (disturbance?.kind) {
            case "late":
                setTimeout(() => this.execute(call), disturbance.afterMs);
                return undefined;
            case "lost":
                await this.execute(call);
                return undefined;
            default:
                return this.execute(call);
        }
    }

    execute({ method, url, body }) {
        const [, , operation, id] = url.pathname.split("/");
        this.writes += operation === "kv-txn" ? 1 : 0;
        this.reads += method === "GET" ? 1 : 0;
        switch (`${method} ${operation}`) {
            case "GET kv-key":
                return this.readKey(url.searchParams.get("key"));
            case "GET kv-range":
                return this.list(url.searchParams);
            case "GET kv-watch":
                return this.watch(url.searchParams);
            case "POST kv-txn":
                return this.commit(body);
            case "POST kv-lease":
                return this.grant(body.ttlMs);
            case "POST kv-keep":
                return this.renew(Number(id));
            case "DELETE kv-lease-end":
                return { status: this.endLease(Number(id)) ? 200 : 404 };
            default:
                return { status: 400 };
        }
    }

    readKey(key) {
        const item = this.items.get(key);
        return item === undefined
            ? { status: 404 }
            : { status: 200, body: { ...item, currentRev: this.revision } };
    }

    list(query) {
        const prefix = query.get("prefix") ?? "";
        const after = query.get("after") ?? "";
        const found = [...this.items.values()]
            .filter(({ key }) => key.startsWith(prefix) && key > after)
            .sort((left, right) => left.key < right.key ? -1 : 1);
        const items = found.slice(0, PAGE_ITEMS);
        return {
            status: 200,
            body: { items, morePages: found.length > PAGE_ITEMS, currentRev: this.revision },
        };
    }

    async watch(query) {
        const prefix = query.get("prefix") ?? "";
        const after = Number(query.get("after"));
        const endsAt = performance.now() + Number(query.get("waitMs"));
        while (true) {
            const events = this.events.filter(({ key, rev }) => rev > after && key.startsWith(prefix));
            const leftMs = endsAt - performance.now();
            if (events.length > 0 || leftMs <= 0) {
                return { status: 200, body: { events, currentRev: this.revision } };
            }
            await this.waiters.wait(leftMs);
        }
    }

    commit({ expect = [], puts = [], remove = [] }) {
        if (expect.some(({ key, rev }) => (this.items.get(key)?.rev ?? 0) !== rev)) {
            return { status: 412, body: { items: expect.flatMap(({ key }) => this.items.get(key) ?? []) } };
        }
        if (puts.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease))) {
            return { status: 404 };
        }
        this.change(puts.map(({ key, value, lease = 0 }) => ({ key, value, lease })), remove);
        return { status: 200, body: { rev: this.revision } };
    }

    change(puts, removals) {
        this.revision += 1;
        for (const { key, value, lease } of puts) {
            const created = this.items.get(key)?.created ?? this.revision;
            const item = { key, value, rev: this.revision, created, lease };
            this.items.set(key, item);
            this.events.push(item);
        }
        for (const key of removals) {
            if (this.items.delete(key)) {
                this.events.push({ key, rev: this.revision, tombstone: true });
            }
        }
        this.waiters.wake();
    }

    grant(requestedMs) {
        this.leaseCount += 1;
        const ttlMs = Math.max(MIN_TTL_MS, requestedMs);
        this.leases.set(this.leaseCount, { ttlMs, endsAt: performance.now() + ttlMs });
        return { status: 200, body: { lease: this.leaseCount, ttlMs } };
    }

    renew(id) {
        const lease = this.leases.get(id);
        if (lease === undefined) {
            return { status: 404 };
        }
        lease.endsAt = performance.now() + lease.ttlMs;
        return { status: 200 };
    }

    endLease(id) {
        const isKnown = this.leases.delete(id);
        const keys = [...this.items.values()].filter(({ lease }) => lease === id).map(({ key }) => key);
        if (isKnown && keys.length > 0) {
            this.change([], keys);
        }
        return isKnown;
    }

    expireLeases() {
        for (const [id, { endsAt }] of this.leases) {
            if (endsAt <= performance.now()) {
                this.endLease(id);
            }
        }
    }
}
