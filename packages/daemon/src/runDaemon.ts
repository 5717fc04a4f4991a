import { createEndpointPool, FairQueue } from "@balsamward/admission";
import type { Environment, HeldLease } from "@balsamward/coordination";
import {
    createConfigurationTracker,
    createHttpStoreTransport,
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
import { compileConfiguration } from "./_lib/compileConfiguration.js";
import { createTaskGroup } from "./_lib/createTaskGroup.js";
import type { Vm } from "./_lib/Vm.js";
import { startCallersListener } from "./callers/startCallersListener.js";
import { updateLimitShares } from "./callers/updateLimitShares.js";
import { runCellOwnership } from "./cells/runCellOwnership.js";
import {
    DRAIN_TIMEOUT_MS,
    IDLE_CONNECTION_GRACE_MS,
    NOT_READY_NOTICE_MS,
    REGISTRATION_RETRY_DELAY_MS,
} from "./constants.js";
import type { DaemonState } from "./DaemonState.js";
import { pollVmList } from "./fleet/pollVmList.js";
import { createWorkerClient } from "./fleet/WorkerClient.js";
import { createMetrics } from "./Metrics.js";
import { startOperationsListener } from "./operations/startOperationsListener.js";
import { createCellRouter } from "./peers/CellRouter.js";
import { createPeerConnections } from "./peers/createPeerConnections.js";
import type { PeerClients } from "./peers/maintainPeerConnection.js";
import { createMembership } from "./peers/Membership.js";
import { startPeerListener } from "./peers/startPeerListener.js";
import { watchControlKeys } from "./peers/watchControlKeys.js";

/**
 * Runs a daemon until the signal aborts and then stops it gracefully.
 *
 * The daemon first reports not ready and hands over its cells. It keeps serving until the load balancer
 * has noticed, then refuses new requests, finishes those in flight and gives up its lease.
 *
 * @param settings - The validated settings.
 * @param log - The logger.
 * @param signal - Starts the graceful stop.
 *
 * @example
 * await runDaemon(settings, log, signal);
 */
export async function runDaemon(settings: DaemonSettings, log: Logger, signal: AbortSignal): Promise<void> {
    const state = createState(settings, log);
    const clients: PeerClients = new Map();
    const router = createCellRouter(state, clients);
    const shutdown = new AbortController();
    const ownershipAbort = new AbortController();
    const peerConnections = createPeerConnections(state, clients, shutdown.signal);
    const { listeners, platform, operators } = settings;
    const peerListener = await startPeerListener(state, clients, listeners!.peers);
    const operationsListener = await startOperationsListener(
        state,
        router,
        listeners!.operations,
        operators!,
    );
    const callersListener = await startCallersListener(state, router, listeners!.callers);
    const onControlChange = () => {
        peerConnections.reconcile();
        updateLimitShares(state);
    };
    state.backgroundTasks.start(() => watchControlKeys(state, onControlChange, shutdown.signal));
    state.backgroundTasks.start(() =>
        holdLease(state.store.transport, lease => setMemberLease(state, lease), shutdown.signal)
    );
    state.backgroundTasks.start(() =>
        pollVmList(
            platform!.vmList,
            vms => updateVms(state, vms),
            message =>
                log.warn("The VM list cannot be read. The last known list stays in use.", { error: message }),
            shutdown.signal,
        )
    );
    const ownershipTask = runCellOwnership(state, ownershipAbort.signal);
    log.info("The daemon is running.", { incarnation: state.incarnation });
    await new Promise<void>(resolve => {
        signal.addEventListener("abort", () => resolve(), { once: true });
    });
    log.info("The daemon stops.");
    state.isStopping = true;
    ownershipAbort.abort();
    await pause(NOT_READY_NOTICE_MS);
    callersListener.drain();
    await pause(IDLE_CONNECTION_GRACE_MS);
    state.isDraining = true;
    callersListener.closeIdle();
    await Promise.all([ownershipTask, waitForRequests(state)]);
    shutdown.abort();
    await callersListener.close();
    await peerListener.close();
    await operationsListener.close();
    await state.backgroundTasks.waitForAll();
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
        store: createStore(createHttpStoreTransport(platform!.store, {
            onCall: (operation, result) => metrics.storeCalls.inc({ operation, result }),
        })),
        workerClient: createWorkerClient(),
        endpointPool: createEndpointPool({ dataCentre, clock, random: Math.random }),
        requestQueue: new PQueue({ concurrency: 1, queueClass: FairQueue }),
        kindControls: new Map(),
        configurationTracker: createConfigurationTracker(configuration =>
            activateConfiguration(state, configuration)
        ),
        membership: createMembership(clock),
        ownedCells: new Map(),
        backgroundTasks: createTaskGroup(error =>
            log.error("A background task of the daemon fails.", { error: String(error) })
        ),
        random: Math.random,
        activeConfiguration: undefined,
        vms: [],
        memberLease: undefined,
        claimLease: undefined,
        lastWatchEventAt: Number.NEGATIVE_INFINITY,
        isStopping: false,
        isDraining: false,
        inFlightRequests: 0,
    };
    return state;
}

function activateConfiguration(state: DaemonState, configuration: Configuration): void {
    const compiled = compileConfiguration(configuration);
    if (compiled.isErr()) {
        state.log.error("The accepted configuration cannot be used. Upgrade this daemon.", {
            error: compiled.error,
        });
        return;
    }
    state.activeConfiguration = compiled.value;
    state.metrics.configurationGeneration.set(Number(configuration.generation));
    updateLimitShares(state);
    state.log.info("A configuration is in force.", { generation: String(configuration.generation) });
}

function setMemberLease(state: DaemonState, lease: HeldLease): void {
    state.memberLease = lease;
    state.backgroundTasks.start(() => registerMember(state, lease));
}

async function registerMember(state: DaemonState, lease: HeldLease): Promise<void> {
    const key = memberKey(state.environment, state.node);
    while (state.memberLease === lease && lease.isValid()) {
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
        state.log.warn("The daemon cannot register as a member. It tries again.", {
            error: written.error.message,
        });
        await pause(REGISTRATION_RETRY_DELAY_MS);
    }
}

function updateVms(state: DaemonState, vms: readonly Vm[]): void {
    state.vms = vms;
    state.endpointPool.update(
        vms.filter(vm => vm.role === "endpoint").map(vm => ({
            id: vm.id as EndpointId,
            address: vm.address,
            dataCentre: vm.dataCentre as DataCentreId,
            leaving: vm.state === "leaving",
        })),
    );
    state.requestQueue.concurrency = Math.max(1, state.endpointPool.capacity());
}

async function waitForRequests(state: DaemonState): Promise<void> {
    const deadline = performance.now() + DRAIN_TIMEOUT_MS;
    while (state.inFlightRequests > 0 && performance.now() < deadline) {
        await pause(10);
    }
}
