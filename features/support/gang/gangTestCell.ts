import type { CellId } from "@balsamward/schema";
import type { Vm } from "../../../packages/daemon/src/_lib/Vm.js";

/** The cell of the gang tests: all workers are in one rack. */
export const CELL_ID = "recife-c0" as CellId;
/** Number of accelerators of each worker. */
export const ACCELERATORS_PER_WORKER = 8;
/** Number of members of each gang in the tests; each member occupies a whole worker. */
export const MEMBERS_PER_GANG = 2;

const DATA_CENTRE = "recife";
const WORKER_COUNT = 4;

/** The configuration: customer 'a' has a guarantee of one gang, customer 'b' has none. */
export const CONFIGURATION_TEXT = `[data_centre.${DATA_CENTRE}]
workers = ${WORKER_COUNT}
workers_per_rack = ${WORKER_COUNT}
accelerators_per_worker = ${ACCELERATORS_PER_WORKER}
racks_per_cell = 1
[customer.a]
weight = 1
token_sha256 = ${"0".repeat(64)}
quota_accelerators = 32
[customer.a.guarantee.own]
gangs = 1
members = ${MEMBERS_PER_GANG}
accelerators_per_member = ${ACCELERATORS_PER_WORKER}
adjacency = rack
[customer.b]
weight = 1
token_sha256 = ${"1".repeat(64)}
quota_accelerators = 32
[kind.batch]
work = job
idempotent = false
urgency = normal
deadline_ms = 60000
rate_per_second = 10
concurrency = 100
preemptible = true
checkpoint_ms = 1000
`;

/** The VMs that run as the cell's workers. */
export const WORKER_VMS: readonly Vm[] = Array.from({ length: WORKER_COUNT }, (_, index) => ({
    id: `${DATA_CENTRE}-w${index}`,
    role: "worker",
    address: `${DATA_CENTRE}-w${index}`,
    dataCentre: DATA_CENTRE,
    rack: 0,
    accelerators: ACCELERATORS_PER_WORKER,
    state: "live",
}));
