import { After, Before, setDefaultTimeout, setWorldConstructor, World } from "@cucumber/cucumber";
import { SnapshotState, toMatchSnapshot } from "jest-snapshot";

const STEP_TIMEOUT_MS = 60_000;

/** The state of one scenario, with access to snapshots kept beside its feature. */
export class TestWorld extends World {
    /** What the scenario's steps hand to each other. */
    readonly notes = new Map<string, unknown>();
    /** Run after the scenario, the last added first. */
    readonly cleanups: (() => Promise<void> | void)[] = [];
    private snapshots: SnapshotState | undefined;
    private scenarioName = "";

    /** Opens the snapshots of a feature. */
    openSnapshots(feature: string, scenario: string): void {
        this.scenarioName = scenario;
        this.snapshots = new SnapshotState(`${process.cwd()}/${feature}.snap`, {
            updateSnapshot: process.env["CI"] === undefined ? "new" : "none",
            snapshotFormat: { escapeString: false, printBasicPrototype: false },
            expand: false,
            rootDir: process.cwd(),
            prettierPath: null,
        });
    }

    /** Saves new snapshots. */
    saveSnapshots(): void {
        this.snapshots?.save();
    }

    /** Compares a value with its snapshot. */
    expectSnapshot(value: unknown): void {
        const context = {
            snapshotState: this.snapshots,
            currentTestName: this.scenarioName,
            isNot: false,
            promise: "",
            equals: Object.is,
            utils: {},
        };
        const result = toMatchSnapshot.call(context as never, value) as {
            pass: boolean;
            message: () => string;
        };
        if (!result.pass) {
            throw new Error(result.message());
        }
    }

    /** Returns what an earlier step noted. */
    note<T>(name: string): T {
        return this.notes.get(name) as T;
    }
}

setDefaultTimeout(STEP_TIMEOUT_MS);
setWorldConstructor(TestWorld);

Before(function(this: TestWorld, { pickle }) {
    this.openSnapshots(pickle.uri, pickle.name);
});

After(async function(this: TestWorld) {
    for (const cleanup of this.cleanups.toReversed()) {
        await cleanup();
    }
    this.saveSnapshots();
});
