import { PEER_SILENCE_LIMIT_MS } from "../constants.js";
import type { Cluster, Peer } from "./Cluster.js";

/** Ratio of two processors from which the faster one is worth a change of the owner. */
const MIN_PROCESSOR_RATIO = 1.5;

/** Time for which an owner goes on before it hands over, in milliseconds. */
const MIN_TERM_MS = 2_000;

/** Time after a hand-over for which this daemon does not hand over again, in milliseconds. */
const HAND_OVER_INTERVAL_MS = 60_000;

/**
 * Returns whether the owner gives up the ownership because a daemon with a much faster processor can take over.
 *
 * @param cluster - The owner's view of the cluster.
 * @param termAgeMs - Time since the term began, in milliseconds.
 * @returns True if such a daemon was heard from recently and reaches the store.
 */
export function shouldHandOver(cluster: Cluster, termAgeMs: number): boolean {
    return cluster.processorCores > 0
        && termAgeMs >= MIN_TERM_MS
        && cluster.clock() - cluster.handedOverAt >= HAND_OVER_INTERVAL_MS
        && [...cluster.peers.values()].some(peer => isFasterSuccessor(cluster, peer));
}

function isFasterSuccessor({ processorCores, clock }: Cluster, peer: Peer): boolean {
    return peer.processorCores >= MIN_PROCESSOR_RATIO * processorCores
        && peer.reachesStore
        && !peer.leaving
        && peer.lastContactAt >= clock() - PEER_SILENCE_LIMIT_MS;
}
