/** Ports on the loopback address that the demo uses. */
export const PORTS = { store: 7610, vmList: 7611, control: 7612, firstDaemon: 7620 } as const;

/** Ports of one daemon of the demo. */
export type DaemonPorts = { readonly callers: number; readonly peers: number; readonly operations: number };

/**
 * Returns the ports of a daemon.
 *
 * @param index - The daemon's number, from 0.
 * @returns Its ports.
 */
export function portsOf(index: number): DaemonPorts {
    const first = PORTS.firstDaemon + index * 3;
    return { callers: first, peers: first + 1, operations: first + 2 };
}
