import { Then } from "@cucumber/cucumber";
import type { TestWorld } from "../../../../../features/support/TestWorld.js";
import { identifyIncarnation } from "./identifyIncarnation.js";

/** Times of the orders after the last reading, and clock readings in their answers, in milliseconds. */
const ELAPSED_MS = [0, 1_000, 100_000];
const READINGS_MS = [
    0,
    99,
    100,
    1_079,
    1_080,
    2_111,
    2_112,
    59_999,
    60_000,
    98_100,
    102_110,
    102_111,
    158_000,
];

Then(
    "the incarnations by reading match the snapshot, for clocks that were read at {int} ms and at {int} ms",
    function(this: TestWorld, oldClockMs: number, youngClockMs: number) {
        const rows = [oldClockMs, youngClockMs].flatMap(clockMs =>
            ELAPSED_MS.map(elapsedMs => {
                const identify = (readingMs: number): string => {
                    const sentAt = 10 + elapsedMs;
                    return identifyIncarnation(
                        { clockMs, sentAt: 0, readAt: 10 },
                        readingMs,
                        sentAt,
                        sentAt + 100,
                    );
                };
                const byReading = READINGS_MS.map(readingMs => `${readingMs}: ${identify(readingMs)}`);
                return `clock ${clockMs}, order after ${elapsedMs}: ${byReading.join(", ")}`;
            })
        );
        this.expectSnapshot(rows);
    },
);
