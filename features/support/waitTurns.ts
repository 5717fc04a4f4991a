import { setImmediate as nextTurn } from "node:timers/promises";

/** Waits for a number of turns of the event loop. */
export async function waitTurns(count: number): Promise<void> {
    for (let turn = 0; turn < count; turn++) {
        await nextTurn();
    }
}
