import { createEndpointPool, FairQueue } from "@balsamward/admission";
import type { Environment, HeldLease } from "@balsamward/coordination";
import {
    createConfigurationTracker,
    createHttpStore,
    createStore,
    holdLease,
    memberKey,
} from "@balsamward/coordination";
import { pause } from "@balsamward/scheduler/pause";
import type { Configuration, DaemonSettings, DataCentreId, EndpointId, NodeId } from "@balsamward/schema";
import { MemberSchema } from "@balsamward/schema";
import { create } from "@bufbuild/protobuf";
import { randomUUID } from "node:crypto";
import PQueue from "p-queue";
import type { Logger } from "winston";
import { applyConfiguration } from "./_lib/applyConfiguration.js";
import { createTaskGroup } from "./_lib/createTaskGroup.js";
import type { Vm } from "./_lib/Vm.js";
import { shareLimits } from "./callers/shareLimits.js";
import { startCallersListener } from "./callers/startCallersListener.js";
import { runOwnership } from "./cells/runOwnership.js";
import { DRAIN_IDLE_MS, DRAIN_NOTICE_MS, DRAIN_TIMEOUT_MS, REGISTRATION_RETRY_MS } from "./constants.js";
import type { DaemonState } from "./DaemonState.js";
import { runVmList } from "./fleet/runVmList.js";
import { createWorkerClient } from "./fleet/WorkerClient.js";
import { createMetrics } from "./Metrics.js";
import { startOperationsListener } from "./operations/startOperationsListener.js";
import { createCellRouter } from "./peers/CellRouter.js";
import { createMembership } from "./peers/Membership.js";
import { runControlWatch } from "./peers/runControlWatch.js";
import type { PeerClients } from "./peers/runPeer.js";
import { createPeers } from "./peers/runPeers.js";
import { startPeerListener } from "./peers/startPeerListener.js";

/**
 * Runs a daemon until the signal aborts, and then stops it gracefully: it becomes not ready and hands
 * over its cells, serves on until the balancer has noticed, takes no new work, ends the requests in
 * flight and gives up its lease.
 *
 * @param settings - The checked settings.
 * @param log - The log.
 * @param signal - Begins the stop.
 *
 * @example
 * await runDaemon(settings, log, signal);
 */
export async function runDaemon(settings: DaemonSettings, log: Logger, signal: AbortSignal): Promise<void> {
    const state = createState(settings, log);
    const clients: PeerClients = new Map();
    const router = createCellRouter(state, clients);
    const end = new AbortController();
    const ownership = new AbortController();
    const peers = createPeers(state, clients, end.signal);
    const { listeners, platform, operators } = settings;
    const peerListener = await startPeerListener(state, clients, listeners!.peers);
    const operations = await startOperationsListener(state, router, listeners!.operations, operators!);
    const callers = await startCallersListener(state, router, listeners!.callers);
    const onControl = () => {
        peers.reconcile();
        shareLimits(state);
    };
    state.tasks.start(() => runControlWatch(state, onControl, end.signal));
    state.tasks.start(() => holdLease(state.store.transport, lease => takeLease(state, lease), end.signal));
    state.tasks.start(() =>
        runVmList(
            platform!.vmList,
            vms => applyVms(state, vms),
            message => log.warn("The VM list cannot be read.", { error: message }),
            end.signal,
        )
    );
    const owning = runOwnership(state, ownership.signal);
    log.info("The daemon runs.", { incarnation: state.incarnation });
    await new Promise<void>(resolve => {
        signal.addEventListener("abort", () => resolve(), { once: true });
    });
    log.info("The daemon stops.");
    state.stopping = true;
    ownership.abort();
    await pause(DRAIN_NOTICE_MS);
    callers.drain();
    await pause(DRAIN_IDLE_MS);
    state.draining = true;
    callers.closeIdle();
    await Promise.all([owning, drainRequests(state)]);
    end.abort();
    await callers.close();
    await peerListener.close();
    await operations.close();
    await state.tasks.settled();
    log.info("The daemon has stopped.");
}

function createState(settings: DaemonSettings, log: Logger): DaemonState {
    const { node, listeners, platform } = settings;
    const metrics = createMetrics();
    const clock = () => performance.now();
    const dataCentre = node!.dataCentre as DataCentreId;
    const state: DaemonState = {
        node: node!.id as NodeId,
        incarnation: randomUUID(),
        environment: node!.environment as Environment,
        dataCentre,
        peerAddress: listeners!.peers,
        log,
        metrics,
        store: createStore(createHttpStore(platform!.store, {
            onCall: (operation, result) => metrics.storeCalls.inc({ operation, result }),
        })),
        workers: createWorkerClient(),
        pool: createEndpointPool({ dataCentre, clock, random: Math.random }),
        queue: new PQueue({ concurrency: 1, queueClass: FairQueue }),
        kinds: new Map(),
        tracker: createConfigurationTracker(configuration => putIntoForce(state, configuration)),
        membership: createMembership(clock),
        owned: new Map(),
        tasks: createTaskGroup(error => log.error("A task fails.", { error: String(error) })),
        random: Math.random,
        configured: undefined,
        vms: [],
        lease: undefined,
        claimLease: undefined,
        watchedAt: Number.NEGATIVE_INFINITY,
        stopping: false,
        draining: false,
        inFlight: 0,
    };
    return state;
}

function putIntoForce(state: DaemonState, configuration: Configuration): void {
    const applied = applyConfiguration(configuration);
    if (applied.isErr()) {
        state.log.error("An accepted document cannot be used. Upgrade this daemon.", {
            error: applied.error,
        });
        return;
    }
    state.configured = applied.value;
    state.metrics.generation.set(Number(configuration.generation));
    shareLimits(state);
    state.log.info("A configuration is in force.", { generation: String(configuration.generation) });
}

function takeLease(state: DaemonState, lease: HeldLease): void {
    state.lease = lease;
    state.tasks.start(() => registerMember(state, lease));
}

async function registerMember(state: DaemonState, lease: HeldLease): Promise<void> {
    const key = memberKey(state.environment, state.node);
    while (state.lease === lease && lease.isValid()) {
        const existing = await state.store.transport.get(key);
        const written = existing.isErr() ? existing : await state.store.write(MemberSchema, {
            key,
            message: create(MemberSchema, {
                node: state.node,
                dataCentre: state.dataCentre,
                peerAddress: state.peerAddress,
            }),
            expectedRevision: existing.value?.revision ?? 0,
            lease: lease.id,
        });
        if (written.isOk()) {
            return;
        }
        state.log.warn("The daemon cannot register.", { error: written.error.message });
        await pause(REGISTRATION_RETRY_MS);
    }
}

function applyVms(state: DaemonState, vms: readonly Vm[]): void {
    state.vms = vms;
    state.pool.update(
        vms.filter(vm => vm.role === "endpoint").map(vm => ({
            id: vm.id as EndpointId,
            address: vm.address,
            dataCentre: vm.dataCentre as DataCentreId,
            leaving: vm.state === "leaving",
        })),
    );
    state.queue.concurrency = Math.max(1, state.pool.capacity());
}

async function drainRequests(state: DaemonState): Promise<void> {
    const deadline = performance.now() + DRAIN_TIMEOUT_MS;
    while (state.inFlight > 0 && performance.now() < deadline) {
        await pause(10);
    }
}
