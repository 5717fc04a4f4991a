import type { FleetStore } from "../ports/FleetStore.js";
import type { Cluster } from "./Cluster.js";
import type { OperatorKeys } from "./OperatorKeys.js";

/**
 * Reads the operator's configuration and the evacuations from the store and puts them into force.
 *
 * Reads with a list, which returns the store's revision: the values' own may be older than the retained history.
 *
 * @param cluster - This daemon's view of the cluster, which holds what is in force.
 * @param store - The store.
 * @param keys - The operator's keys.
 * @returns The store's revision, from which a watch can continue; `undefined` if the store cannot be read.
 */
export async function readOperatorKeys(
    cluster: Cluster,
    store: FleetStore,
    { prefix, configuration, decodeEvacuation }: OperatorKeys,
): Promise<number | undefined> {
    const sentAt = cluster.clock();
    const listed = await store.list(prefix);
    if (listed.isErr()) {
        cluster.log.debug("The configuration and the evacuations cannot be read.", {
            reason: listed.error.kind,
        });
        return undefined;
    }
    const { items, revision } = listed.value;
    const requests = items.flatMap(item => {
        const dataCentre = decodeEvacuation(item.key);
        return dataCentre === undefined ? [] : [{ dataCentre, revision: item.revision, isRequested: true }];
    });
    cluster.evacuations.applyList(requests, revision);
    items
        .filter(item => item.key === configuration)
        .forEach(item => cluster.configuration.activateIfNewer(item.value, "store"));
    cluster.configuration.confirm(sentAt);
    return revision;
}
