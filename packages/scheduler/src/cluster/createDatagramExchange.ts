import type { Heartbeat, HeartbeatDatagram } from "@balsamward/schema/scheduling";
import { HeartbeatDatagramSchema } from "@balsamward/schema/scheduling";
import type { MessageInitShape } from "@bufbuild/protobuf";
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { startDeadline } from "../startDeadline.js";
import { answerHeartbeat } from "./answerHeartbeat.js";
import type { Cluster } from "./Cluster.js";
import { composeHeartbeat } from "./Cluster.js";

/** Time within which the answer to a datagram is expected, in milliseconds. */
const ANSWER_TIMEOUT_MS = 300;

/** Largest datagram that is sent, in bytes; one of this size fits in a packet on any usual network. */
const MAX_DATAGRAM_BYTES = 1_200;

/** The outcome of an exchange of heartbeats by datagrams. */
export type DatagramOutcome =
    | { readonly kind: "answered"; readonly heartbeat: Heartbeat }
    /** One of the two heartbeats does not fit in a datagram. */
    | { readonly kind: "too-large" }
    | { readonly kind: "unanswered" };

/** Exchanges heartbeats by datagrams, which cost a fraction of the processor time of an RPC. */
export type DatagramExchange = {
    /** Sends a heartbeat to an address and waits for the answer. */
    readonly exchange: (address: string) => Promise<DatagramOutcome>;
    /** Handles a datagram that was received from an address: an answer, or a heartbeat, which is answered. */
    readonly receive: (bytes: Uint8Array, sender: string) => void;
};

/** An exchange that waits for its answer. */
type PendingExchange = { readonly address: string; readonly settle: (outcome: DatagramOutcome) => void };

/** Exchanges are numbered from a random number below this, so that a daemon takes no answer to its predecessor. */
const MAX_FIRST_EXCHANGE = 2 ** 31;

/**
 * Creates the exchange of heartbeats by datagrams. Malformed datagrams, late answers and answers from other addresses
 * than the peer's are dropped.
 *
 * @param cluster - This daemon's view of the cluster.
 * @param send - Sends a datagram to an address.
 * @returns The exchange.
 */
export function createDatagramExchange(
    cluster: Cluster,
    send: (bytes: Uint8Array, address: string) => void,
): DatagramExchange {
    const pending = new Map<number, PendingExchange>();
    let lastExchange = Math.floor(Math.random() * MAX_FIRST_EXCHANGE);
    return {
        exchange: address =>
            new Promise(resolve => {
                const bytes = encode({ heartbeat: composeHeartbeat(cluster), exchange: ++lastExchange });
                if (bytes.length > MAX_DATAGRAM_BYTES) {
                    resolve({ kind: "too-large" });
                    return;
                }
                const exchange = lastExchange;
                const settle = (outcome: DatagramOutcome): void => {
                    endDeadline();
                    pending.delete(exchange);
                    resolve(outcome);
                };
                const endDeadline = startDeadline(ANSWER_TIMEOUT_MS, () => settle({ kind: "unanswered" }));
                pending.set(exchange, { address, settle });
                send(bytes, address);
            }),
        receive: (bytes, sender) => {
            const datagram = decode(bytes);
            if (datagram === undefined) {
                cluster.metrics.peerCalls.inc({ call: "datagram", result: "malformed" });
                cluster.log.debug("A malformed datagram is dropped.", { sender, bytes: bytes.length });
            }
            else if (datagram.isAnswer) {
                const { heartbeat } = datagram;
                const exchange = pending.get(datagram.exchange);
                if (exchange?.address === sender) {
                    exchange.settle(
                        heartbeat === undefined ? { kind: "too-large" } : { kind: "answered", heartbeat },
                    );
                }
            }
            else if (datagram.heartbeat !== undefined) {
                send(composeAnswer(cluster, datagram.heartbeat, datagram.exchange), sender);
            }
        },
    };
}

function composeAnswer(cluster: Cluster, received: Heartbeat, exchange: number): Uint8Array {
    const answer = encode({ heartbeat: answerHeartbeat(cluster, received), exchange, isAnswer: true });
    return answer.length <= MAX_DATAGRAM_BYTES ? answer : encode({ exchange, isAnswer: true });
}

function encode(datagram: MessageInitShape<typeof HeartbeatDatagramSchema>): Uint8Array {
    return toBinary(HeartbeatDatagramSchema, create(HeartbeatDatagramSchema, datagram));
}

function decode(bytes: Uint8Array): HeartbeatDatagram | undefined {
    try {
        return fromBinary(HeartbeatDatagramSchema, bytes);
    }
    catch {
        return undefined;
    }
}
