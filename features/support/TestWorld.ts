import { After, Before, setDefaultTimeout, setWorldConstructor, World } from "@cucumber/cucumber";
import { SnapshotState, toMatchSnapshot } from "jest-snapshot";

const STEP_TIMEOUT_MS = 60_000;

/** The state of one scenario, with the snapshots stored beside its feature file. */
export class TestWorld extends World {
    /** Values that the steps of the scenario share, by name. */
    readonly notes = new Map<string, unknown>();
    /** Functions that run after the scenario, the last added first. */
    readonly cleanups: (() => Promise<void> | void)[] = [];
    private snapshots: SnapshotState | undefined;
    private scenarioName = "";

    /**
     * Opens the snapshots of a feature.
     *
     * @param feature - The path of the feature file, relative to the working directory.
     * @param scenario - The name of the scenario, which is the key of its snapshots.
     */
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

    /** Saves the snapshots that the scenario added. */
    saveSnapshots(): void {
        this.snapshots?.save();
    }

    /**
     * Compares a value with the scenario's next snapshot, which is created if there is none, except in CI.
     *
     * @param value - The value.
     * @throws If the value differs from the snapshot.
     */
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

    /** Returns the value that an earlier step stored under a name; its type is not checked. */
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
