import type { Peer } from "../../packages/scheduler/src/cluster/Cluster.js";

/**
 * Creates a peer whose calls are answered by functions of the test.
 *
 * @param address - The peer's address, which is its name too.
 * @param calls - The calls that the test makes, by name.
 * @param fields - Fields of the peer that differ; by default it was heard from at 0 ms and reaches the store.
 * @returns The peer.
 */
export function createTestPeer(address: string, calls: object, fields: Partial<Peer> = {}): Peer {
    return {
        address,
        node: address,
        client: { calls: calls as Peer["client"]["calls"], reset: () => {} },
        lastContactAt: 0,
        rank: 0,
        isActive: true,
        failedExchanges: 0,
        refusedConnections: 0,
        reachesStore: true,
        configurationVersion: 0,
        isFetchingConfiguration: false,
        wallClockOffsetMs: 0,
        leaving: false,
        processorCores: 0,
        requestExchange: () => {},
        abortController: new AbortController(),
        ...fields,
    };
}
