import { setTimeout as sleep } from "node:timers/promises";

const EXPECTATION_TIMEOUT_MS = 20_000;
const EXPECTATION_POLL_INTERVAL_MS = 100;

/** Prints the result of each expectation, with the time since the start, and collects the failed ones. */
export class Checks {
    /** The failed expectations, and the errors that ended the scenario. */
    readonly failures: string[] = [];
    private readonly startedAt = Date.now();

    /** Prints an expectation and whether it is met. */
    expectNow(expectation: string, passed: boolean): void {
        process.stdout.write(
            `${this.formatElapsedSeconds().padStart(5)} s  ${passed ? "ok    " : "FAILED"}  ${expectation}\n`,
        );
        if (!passed) {
            this.failures.push(expectation);
        }
    }

    /** Waits until an expectation is met, at most `EXPECTATION_TIMEOUT_MS`; a condition that rejects is not met. */
    async expectEventually(expectation: string, condition: () => Promise<boolean>): Promise<void> {
        const deadlineMs = Date.now() + EXPECTATION_TIMEOUT_MS;
        while (Date.now() < deadlineMs) {
            if (await condition().catch(() => false)) {
                this.expectNow(expectation, true);
                return;
            }
            await sleep(EXPECTATION_POLL_INTERVAL_MS);
        }
        this.expectNow(expectation, false);
    }

    /** Prints a text that is no expectation. */
    printNote(text: string): void {
        process.stdout.write(text.split("\n").map(line => `                 ${line}\n`).join(""));
    }

    /** Returns the time since the start in seconds. */
    formatElapsedSeconds(): string {
        return ((Date.now() - this.startedAt) / 1_000).toFixed(1);
    }
}
