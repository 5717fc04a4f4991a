import { listenOn } from "@balsamward/scheduler/listenOn";
import type { NodeId } from "@balsamward/schema";
import { MemberSchema, PeerService } from "@balsamward/schema";
import { create } from "@bufbuild/protobuf";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { When } from "@cucumber/cucumber";
import type { ServerHttp2Session } from "node:http2";
import { createServer } from "node:http2";
import { findFreeAddress } from "../../../../features/support/findFreeAddress.js";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import { collectUnhandledErrors, SETTLING_TURNS } from "../../../../features/support/unhandledErrors.js";
import { waitTurns } from "../../../../features/support/waitTurns.js";
import type { DaemonState } from "../DaemonState.js";
import type { PeerClients } from "./maintainPeerConnection.js";
import { maintainPeerConnection } from "./maintainPeerConnection.js";

const PEER = "a" as NodeId;

/** Name of the daemon under test. It sorts after the peer's, so that the daemon sends no heartbeats of its own. */
const NODE = "b" as NodeId;

/** A connection to a peer that serves calls on loopback. */
type ConnectedPeer = {
    readonly call: () => Promise<unknown>;
    readonly removeMember: () => void;
    /** Ends the peer's side of the connection as a planned stop does. */
    readonly stop: () => void;
    /** Resolves when the daemon no longer maintains the connection. */
    readonly removed: Promise<void>;
};

async function startConnectedPeer(): Promise<ConnectedPeer> {
    const sessions = new Set<ServerHttp2Session>();
    const server = createServer(connectNodeAdapter({
        routes: router => router.service(PeerService, { exchange: () => ({}) }),
    }));
    server.on("session", session => sessions.add(session));
    const peerAddress = await findFreeAddress();
    await listenOn(server, peerAddress);
    const clients: PeerClients = new Map();
    const abortController = new AbortController();
    const state = { node: NODE, random: Math.random } as DaemonState;
    const member = create(MemberSchema, { node: PEER, peerAddress });
    const removed = maintainPeerConnection(state, clients, member, abortController.signal);
    const client = clients.get(PEER)!;
    await client.exchange({});
    return {
        call: () => client.exchange({}).catch(error => error),
        removeMember: () => abortController.abort(),
        stop: () => {
            server.close();
            sessions.forEach(session => session.close());
        },
        removed,
    };
}

async function useWhilePeerStops(
    world: TestWorld,
    lastTurn: number,
    use: (peer: ConnectedPeer) => unknown,
): Promise<void> {
    collectUnhandledErrors(world);
    for (let turn = 0; turn <= lastTurn; turn++) {
        const peer = await startConnectedPeer();
        peer.stop();
        await waitTurns(turn);
        await use(peer);
        await waitTurns(SETTLING_TURNS);
        peer.removeMember();
        await peer.removed;
    }
}

When(
    "a connected peer stops, and its member is removed 0 to {int} turns of the event loop later",
    async function(this: TestWorld, lastTurn: number) {
        await useWhilePeerStops(this, lastTurn, peer => peer.removeMember());
    },
);

When(
    "a connected peer stops, and it is called 0 to {int} turns of the event loop later",
    async function(this: TestWorld, lastTurn: number) {
        await useWhilePeerStops(this, lastTurn, peer => peer.call());
    },
);
