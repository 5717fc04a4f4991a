import type { CellId, CustomerId, NodeId } from "@balsamward/schema";
import { sha256Hex } from "@balsamward/schema";

/** The environment that a key belongs to; each environment has its own document, cells and claims. */
export type Environment = "trial" | "production";

/**
 * Returns the key prefix that every daemon of an environment watches.
 *
 * @param environment - The environment.
 * @returns The prefix.
 *
 * @example
 * controlPrefix("production"); // "production/control/"
 */
export function controlPrefix(environment: Environment): string {
    return `${environment}/control/`;
}

/**
 * Returns the key of an environment's configuration.
 *
 * @param environment - The environment.
 * @returns The key.
 *
 * @example
 * configurationKey("trial");
 */
export function configurationKey(environment: Environment): string {
    return `${controlPrefix(environment)}configuration`;
}

/**
 * Returns the key of a daemon's registration as a live member.
 *
 * @param environment - The environment.
 * @param node - The daemon.
 * @returns The key.
 *
 * @example
 * memberKey("production", node); // "production/control/members/" and the node
 */
export function memberKey(environment: Environment, node: NodeId): string {
    return `${controlPrefix(environment)}members/${node}`;
}

/**
 * Returns the key of the record that names the owner of a cell.
 *
 * @param environment - The environment.
 * @param cell - The cell.
 * @returns The key.
 *
 * @example
 * ownerKey("production", cell);
 */
export function ownerKey(environment: Environment, cell: CellId): string {
    return `${controlPrefix(environment)}owners/${cell}`;
}

/**
 * Returns the key of a cell's durable state.
 *
 * @param environment - The environment.
 * @param cell - The cell.
 * @returns The key.
 *
 * @example
 * cellStateKey("production", cell);
 */
export function cellStateKey(environment: Environment, cell: CellId): string {
    return `${environment}/cells/${cell}`;
}

/**
 * Returns the key of one page of a cell's ledger, which lists ended jobs.
 *
 * @param environment - The environment.
 * @param cell - The cell.
 * @param page - The page number, from 0.
 * @returns The key.
 *
 * @example
 * ledgerPageKey("production", cell, 0);
 */
export function ledgerPageKey(environment: Environment, cell: CellId, page: number): string {
    return `${environment}/ledger/${cell}/${page}`;
}

/**
 * Returns the store key of the claim on an idempotency key.
 *
 * The idempotency key is hashed, so that the store key has a bounded length.
 *
 * @param environment - The environment.
 * @param customer - The customer that sent the idempotency key.
 * @param idempotencyKey - The idempotency key.
 * @returns The key.
 *
 * @example
 * claimKey("production", customer, "batch-7");
 */
export function claimKey(environment: Environment, customer: CustomerId, idempotencyKey: string): string {
    return `${environment}/claims/${customer}/${sha256Hex(idempotencyKey)}`;
}
