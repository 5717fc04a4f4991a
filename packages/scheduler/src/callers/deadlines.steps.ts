import { Given } from "@cucumber/cucumber";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import type { FakeFleetStore, WriteFault } from "../../../stand-ins/src/fleet/FakeFleetStore.js";

const SILENT_WRITE_COUNT = 100;

Given("the store answers reads after {int} ms", function(this: TestWorld, ms: number) {
    this.notes.set("readDelayMs", ms);
});

Given("the store grants leases after {int} ms", function(this: TestWorld, ms: number) {
    this.notes.set("grantDelayMs", ms);
});

Given("the store never answers writes", function(this: TestWorld) {
    const faults = Array.from({ length: SILENT_WRITE_COUNT }, (): WriteFault => "silent");
    this.note<FakeFleetStore>("store").writeFaults.push(...faults);
});

Given("callers wait for {int} ms", function(this: TestWorld, ms: number) {
    this.notes.set("callerTimeoutMs", ms);
});
