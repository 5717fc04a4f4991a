import type { Logger } from "winston";
import type { ReceivedSignal, SignalReceiver } from "./receiveSignals.js";

/** Minimum time between two lines of signals of the same name and stage, in milliseconds. */
const SIGNAL_LINE_INTERVAL_MS = 1_000;

/** The last line of signals of a name and stage, and how many arrived since without one. */
type LastLine = { readonly loggedAt: number; notLogged: number };

/**
 * Logs each signal with the stage at which it arrives, and those that arrived before. Of a series, one line a second is
 * logged; it counts the signals that got none since the line before it.
 *
 * @param signals - Signals of the process.
 * @param log - The log.
 * @param clock - Returns the time of a monotonic clock in milliseconds.
 */
export function logSignals(signals: SignalReceiver, log: Logger, clock: () => number): void {
    const lastLines = new Map<string, LastLine>();
    const logSignal = ({ name, stage, processAgeMs }: ReceivedSignal): void => {
        const key = `${name} ${stage}`;
        const last = lastLines.get(key);
        if (last !== undefined && clock() - last.loggedAt < SIGNAL_LINE_INTERVAL_MS) {
            last.notLogged += 1;
            return;
        }
        log.info("A signal is received.", {
            signal: name,
            stage,
            processAgeMs,
            notLogged: last?.notLogged ?? 0,
        });
        lastLines.set(key, { loggedAt: clock(), notLogged: 0 });
    };
    signals.handle("SIGTERM", logSignal);
    signals.handle("SIGINT", logSignal);
    signals.handle("SIGHUP", logSignal);
}
