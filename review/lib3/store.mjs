import { startJsonServer } from "./httpServer.mjs";

const MIN_TTL_MS = 1_000;
const PAGE_ITEMS = 500;
const EXPIRY_INTERVAL_MS = 20;
/** Keys that the system may not write. */
const FOREIGN_KEYS = /^(op|servers)\//;

/** A stand-in of the platform's store: items with revisions, transactions, leases and watches. */
export class Store {
    items = new Map();
    leases = new Map();
    events = [];
    watches = new Set();
    revision = 100;
    leaseCount = 0;

    /** Starts to listen. */
    async start(host) {
        this.server = await startJsonServer(host, call => this.handle(call));
        this.timer = setInterval(() => this.expire(), EXPIRY_INTERVAL_MS);
        this.address = this.server.address;
    }

    close() {
        clearInterval(this.timer);
        this.server.close();
    }

    /** Writes a JSON value as the operator or a worker does. */
    put(key, value) {
        this.change([{ key, value: Buffer.from(JSON.stringify(value)).toString("base64"), lease: 0 }], []);
    }

    remove(key) {
        this.change([], [key]);
    }

    /** Returns the JSON value of a key; `undefined` if there is none. */
    get(key) {
        const item = this.items.get(key);
        return item === undefined
            ? undefined
            : JSON.parse(Buffer.from(item.value, "base64").toString("utf8"));
    }

    handle({ method, url, body }) {
        const [, , operation, id] = url.pathname.split("/");
        const query = url.searchParams;
        switch (`${method} ${operation}`) {
            case "GET kv-key":
                return this.read(query.get("key"));
            case "GET kv-range":
                return { status: 200, body: this.list(query.get("prefix") ?? "", query.get("after") ?? "") };
            case "GET kv-watch":
                return this.watch(
                    query.get("prefix"),
                    Number(query.get("after")),
                    Number(query.get("waitMs")),
                );
            case "POST kv-txn":
                return this.commit(body);
            case "POST kv-lease":
                return this.grant(body.ttlMs);
            case "POST kv-keep":
                return this.keep(Number(id));
            case "DELETE kv-lease-end":
                return { status: this.endLease(Number(id)) ? 200 : 404 };
            case "POST register":
                // Only the stand-ins of workers call this.
                this.put(`servers/${body.id}`, body.entry);
                return { status: 200, body: {} };
            default:
                return { status: 400 };
        }
    }

    read(key) {
        const item = this.items.get(key);
        return item === undefined
            ? { status: 404, body: { currentRev: this.revision } }
            : { status: 200, body: { ...item, currentRev: this.revision } };
    }

    list(prefix, after) {
        const found = [...this.items.values()]
            .filter(({ key }) => key.startsWith(prefix) && key > after)
            .sort((left, right) => left.key < right.key ? -1 : 1);
        return {
            items: found.slice(0, PAGE_ITEMS),
            morePages: found.length > PAGE_ITEMS,
            currentRev: this.revision,
        };
    }

    watch(prefix, after, waitMs) {
        const findEvents = () => this.events.filter(({ key, rev }) => rev > after && key.startsWith(prefix));
        return new Promise(resolve => {
            const answer = () => {
                clearTimeout(timer);
                this.watches.delete(check);
                resolve({ status: 200, body: { events: findEvents(), currentRev: this.revision } });
            };
            const check = () => {
                if (findEvents().length > 0) {
                    answer();
                }
            };
            const timer = setTimeout(answer, waitMs);
            this.watches.add(check);
            check();
        });
    }

    commit({ expect = [], puts = [], remove = [] }) {
        if ([...puts.map(({ key }) => key), ...remove].some(key => FOREIGN_KEYS.test(key))) {
            return { status: 403 };
        }
        if (expect.some(({ key, rev }) => (this.items.get(key)?.rev ?? 0) !== rev)) {
            const items = expect.flatMap(({ key }) => this.items.get(key) ?? []);
            return { status: 412, body: { items, currentRev: this.revision } };
        }
        if (puts.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease))) {
            return { status: 404 };
        }
        this.change(puts, remove);
        return { status: 200, body: { rev: this.revision } };
    }

    change(puts, removals) {
        this.revision += 1;
        for (const { key, value, lease = 0 } of puts) {
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
        [...this.watches].forEach(check => check());
    }

    grant(requestedMs) {
        this.leaseCount += 1;
        const ttlMs = Math.max(MIN_TTL_MS, requestedMs);
        this.leases.set(this.leaseCount, { ttlMs, endsAt: performance.now() + ttlMs });
        return { status: 200, body: { lease: this.leaseCount, ttlMs } };
    }

    keep(id) {
        const lease = this.leases.get(id);
        if (lease === undefined) {
            return { status: 404 };
        }
        lease.endsAt = performance.now() + lease.ttlMs;
        return { status: 200, body: { ttlMs: lease.ttlMs } };
    }

    endLease(id) {
        const isKnown = this.leases.delete(id);
        const keys = [...this.items.values()].filter(({ lease }) => lease === id).map(({ key }) => key);
        if (keys.length > 0) {
            this.change([], keys);
        }
        return isKnown;
    }

    expire() {
        const now = performance.now();
        [...this.leases].filter(([, { endsAt }]) => endsAt <= now).forEach(([id]) => this.endLease(id));
    }
}
