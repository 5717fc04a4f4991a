import { mock } from "node:test";
import type { TestWorld } from "./TestWorld.js";

/**
 * Stops the timers of the process until the scenario ends: no timeout expires, even if the operating system does not
 * run the process for a second. An operation that ends only by a timeout exceeds the time limit of its step, which
 * Cucumber measures with the real timers.
 *
 * @param world - The scenario.
 */
export function stopTimers(world: TestWorld): void {
    mock.timers.enable({ apis: ["setTimeout", "setInterval"] });
    world.cleanups.push(() => mock.timers.reset());
}
