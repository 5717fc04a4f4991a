import { Then } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { TestWorld } from "./TestWorld.js";
import { waitTurns } from "./waitTurns.js";

/** Turns of the event loop that an ended connection needs at most until it has emitted its error. */
export const SETTLING_TURNS = 50;

/**
 * Collects the errors that would end a daemon's process, until the scenario ends.
 *
 * @param world - The scenario.
 */
export function collectUnhandledErrors(world: TestWorld): void {
    const errors: unknown[] = [];
    const collect = (error: unknown): void => void errors.push(error);
    world.notes.set("unhandledErrors", errors);
    process.on("uncaughtException", collect);
    world.cleanups.push(() => {
        process.off("uncaughtException", collect);
    });
}

Then("no error was left unhandled", async function(this: TestWorld) {
    await waitTurns(SETTLING_TURNS);
    assert.deepEqual(this.note<unknown[]>("unhandledErrors"), []);
});
