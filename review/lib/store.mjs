// Stand-in of the platform's store: items with revisions, transactions, leases and watches.
import { startServer } from "./http.mjs";

const MIN_TTL_MS = 1_000;

/** Largest value and largest number of entries in a transaction, as the pages set them. */
const VALUE_BYTES = 1_048_576;
const MAX_ENTRIES = 32;

/** Creates the state of a store and the function that handles its calls. */
export function createStore(clock) {
    const state = {
        items: new Map(),
        leases: new Map(),
        events: [],
        rev: 100,
        lastLease: 0,
        waiters: new Set(),
        clock,
        /** Called before each call; it may return an answer, or "silent" to leave the call without effect or answer. */
        intercept: async () => undefined,
    };
    const timer = setInterval(() => expireLeases(state), 20);
    return {
        state,
        handle: call => handleCall(state, call),
        put: (key, value) => putItem(state, key, Buffer.from(JSON.stringify(value)).toString("base64"), 0),
        remove: key => removeItem(state, key),
        read: key => decode(state.items.get(key)),
        stop: () => clearInterval(timer),
    };
}

/** Starts a store on a free port of a loopback address. */
export async function startStore(host, clock) {
    const store = createStore(clock);
    const server = await startServer(host, 0, store.handle);
    return {
        ...store,
        address: `${host}:${server.port}`,
        close: async () => {
            store.stop();
            await server.close();
        },
    };
}

function decode(item) {
    return item === undefined ? undefined : Buffer.from(item.value, "base64").toString();
}

async function handleCall(state, call) {
    const intercepted = await state.intercept(call);
    if (intercepted !== undefined) {
        return intercepted === "silent" ? undefined : intercepted;
    }
    expireLeases(state);
    const { method, url, body } = call;
    const [, , operation, id] = url.pathname.split("/");
    switch (`${method} ${operation}`) {
        case "GET kv-key":
            return readItem(state, url);
        case "GET kv-range":
            return { status: 200, body: listItems(state, url) };
        case "GET kv-watch":
            return watch(state, url);
        case "POST kv-txn":
            return commit(state, body);
        case "POST kv-lease":
            return grant(state, body);
        case "POST kv-keep":
            return renew(state, Number(id));
        case "DELETE kv-lease-end":
            return end(state, Number(id));
        default:
            return { status: 400 };
    }
}

function readItem({ items, rev }, url) {
    const item = items.get(url.searchParams.get("key"));
    return item === undefined ? { status: 404 } : { status: 200, body: { ...item, currentRev: rev } };
}

function listItems({ items, rev }, url) {
    const prefix = url.searchParams.get("prefix") ?? "";
    const after = url.searchParams.get("after") ?? "";
    const found = [...items.values()]
        .filter(({ key }) => key.startsWith(prefix) && key > after)
        .sort((left, right) => left.key < right.key ? -1 : 1);
    return { items: found.slice(0, 500), morePages: found.length > 500, currentRev: rev };
}

async function watch(state, url) {
    const prefix = url.searchParams.get("prefix") ?? "";
    const after = Number(url.searchParams.get("after"));
    const waitUntil = state.clock() + Number(url.searchParams.get("waitMs"));
    while (true) {
        const events = state.events.filter(({ key, rev }) => rev > after && key.startsWith(prefix));
        const leftMs = waitUntil - state.clock();
        if (events.length > 0 || leftMs <= 0) {
            return { status: 200, body: { events, currentRev: state.rev } };
        }
        await waitForChange(state, leftMs);
    }
}

function waitForChange({ waiters }, timeoutMs) {
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

function commit(state, { expect = [], puts = [], remove = [] }) {
    const isTooLarge = puts.some(({ value }) => Buffer.byteLength(value, "base64") > VALUE_BYTES);
    if (isTooLarge || expect.length + puts.length + remove.length > MAX_ENTRIES) {
        return { status: 400 };
    }
    const fails = expect.some(({ key, rev }) => (state.items.get(key)?.rev ?? 0) !== rev);
    if (fails) {
        return { status: 412, body: { items: expect.flatMap(({ key }) => state.items.get(key) ?? []) } };
    }
    if (puts.some(({ lease = 0 }) => lease !== 0 && !state.leases.has(lease))) {
        return { status: 404 };
    }
    state.rev += 1;
    puts.forEach(({ key, value, lease = 0 }) => setItem(state, key, value, lease));
    remove.forEach(key => deleteItem(state, key));
    wake(state);
    return { status: 200, body: { rev: state.rev } };
}

function putItem(state, key, value, lease) {
    state.rev += 1;
    setItem(state, key, value, lease);
    wake(state);
}

function removeItem(state, key) {
    state.rev += 1;
    deleteItem(state, key);
    wake(state);
}

function setItem({ items, events, rev }, key, value, lease) {
    const item = { key, value, rev, created: items.get(key)?.created ?? rev, lease };
    items.set(key, item);
    events.push(item);
}

function deleteItem({ items, events, rev }, key) {
    if (items.delete(key)) {
        events.push({ key, rev, tombstone: true });
    }
}

function wake({ waiters }) {
    [...waiters].forEach(finish => finish());
}

function grant(state, { ttlMs }) {
    state.lastLease += 1;
    const ttl = Math.max(MIN_TTL_MS, ttlMs);
    state.leases.set(state.lastLease, { ttl, endsAt: state.clock() + ttl });
    return { status: 200, body: { lease: state.lastLease, ttlMs: ttl } };
}

function renew(state, id) {
    const lease = state.leases.get(id);
    if (lease === undefined) {
        return { status: 404 };
    }
    lease.endsAt = state.clock() + lease.ttl;
    return { status: 200 };
}

function end(state, id) {
    if (!state.leases.delete(id)) {
        return { status: 404 };
    }
    [...state.items.values()].filter(({ lease }) => lease === id).forEach(({ key }) =>
        removeItem(state, key)
    );
    return { status: 200 };
}

function expireLeases(state) {
    const now = state.clock();
    [...state.leases].filter(([, { endsAt }]) => endsAt <= now).forEach(([id]) => end(state, id));
}
