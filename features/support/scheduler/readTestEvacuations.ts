import type { FleetStore } from "@balsamward/scheduler";
import type { ActiveEvacuations } from "../../../packages/scheduler/src/cluster/createActiveEvacuations.js";
import { TEST_OPERATOR_KEYS } from "../testOperatorKeys.js";

/** Reads the evacuations from a store into their holder; returns false if the store cannot be read. */
export async function readTestEvacuations(
    store: FleetStore,
    evacuations: ActiveEvacuations,
): Promise<boolean> {
    const listed = await store.list(TEST_OPERATOR_KEYS.prefix);
    if (listed.isErr()) {
        return false;
    }
    const { items, revision } = listed.value;
    const requests = items.map(item => ({
        dataCentre: TEST_OPERATOR_KEYS.decodeEvacuation(item.key)!,
        revision: item.revision,
        isRequested: true,
    }));
    evacuations.applyList(requests, revision);
    return true;
}
