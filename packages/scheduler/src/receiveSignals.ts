import { setImmediate as nextTurn } from "node:timers/promises";
import { createTurnLog } from "./createTurnLog.js";

/** A signal that the process handles. */
export type SignalName = "SIGTERM" | "SIGINT" | "SIGHUP";

/** Stage of the process's life at which a signal arrives. */
export type ProcessStage = "starting" | "running" | "stopping";

/** A signal, and when it arrived. */
export type ReceivedSignal = {
    readonly name: SignalName;
    readonly stage: ProcessStage;
    /** Time since the process was created, in milliseconds. */
    readonly processAgeMs: number;
    /** Monotonic time after which it was sent, in milliseconds; long ago if the process was suspended meanwhile. */
    readonly sentAfter: number;
};

/** Takes the signals of the process, also before anything handles them. */
export type SignalReceiver = {
    /** Aborts at the first SIGTERM or SIGINT. */
    readonly stopSignal: AbortSignal;
    /** Calls a handler for each signal of a name, and at once for the first one that arrived before this call. */
    readonly handle: (name: SignalName, handler: (signal: ReceivedSignal) => void) => void;
    /** Waits until the signals that have arrived so far are delivered, which needs turns of the event loop. */
    readonly deliver: () => Promise<void>;
    /** Tells that the start has ended: signals arrive at a running daemon from now on. */
    readonly finishStart: () => void;
    /** Leaves the signals to the system's defaults again. */
    readonly close: () => void;
};

/** Options of `receiveSignals`. */
export type ReceiveSignalsOptions = {
    /** Names of the signals to receive, by default SIGTERM and SIGHUP; the others keep their effect. */
    readonly names?: readonly SignalName[];
};

/** Interval at which the process notes that it runs, in milliseconds. */
const TURN_INTERVAL_MS = 100;

/**
 * Takes the signals of the process. They end it from its creation until this call, so that a daemon calls this
 * before it loads or starts anything else.
 *
 * @param options - Names of the signals.
 * @returns The receiver, which keeps the first signal of each name for handlers that are added later.
 *
 * @example
 * const signals = receiveSignals();
 * signals.handle("SIGHUP", () => reloadSettings());
 */
export function receiveSignals(
    { names = ["SIGTERM", "SIGHUP"] }: ReceiveSignalsOptions = {},
): SignalReceiver {
    const stopping = new AbortController();
    const firstSignals = new Map<SignalName, ReceivedSignal>();
    const handlers = new Map<SignalName, ((signal: ReceivedSignal) => void)[]>();
    const turns = createTurnLog(() => performance.now());
    // Immediates run after the poll for input, which handles the signals that came before this turn.
    const turnTimer = setInterval(() => setImmediate(turns.begin()), TURN_INTERVAL_MS).unref();
    let hasStarted = false;
    const getStage = (): ProcessStage =>
        stopping.signal.aborted ? "stopping" : hasStarted ? "running" : "starting";
    const receive = (name: SignalName): void => {
        const signal = {
            name,
            stage: getStage(),
            processAgeMs: Math.round(process.uptime() * 1_000),
            sentAfter: turns.getLastTurnAt(),
        };
        if (!firstSignals.has(name)) {
            firstSignals.set(name, signal);
        }
        if (name !== "SIGHUP") {
            stopping.abort();
        }
        handlers.get(name)?.forEach(handler => handler(signal));
    };
    const onSignal = (name: NodeJS.Signals): void => receive(name as SignalName);
    names.forEach(name => process.on(name, onSignal));
    return {
        stopSignal: stopping.signal,
        handle: (name, handler) => {
            handlers.set(name, [...handlers.get(name) ?? [], handler]);
            const first = firstSignals.get(name);
            if (first !== undefined) {
                handler(first);
            }
        },
        deliver: async () => {
            // The rest of this turn, and a whole one.
            await nextTurn();
            const completeTurn = turns.begin();
            await nextTurn();
            completeTurn();
        },
        finishStart: () => {
            hasStarted = true;
        },
        close: () => {
            clearInterval(turnTimer);
            names.forEach(name => process.off(name, onSignal));
        },
    };
}
