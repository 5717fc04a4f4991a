/** A virtual machine, as the platform's VM list shows it. */
export type Vm = {
    readonly id: string;
    readonly role: "worker" | "endpoint";
    /** Base address as `http://IP:port`, with a path where several VMs share one fake server. */
    readonly address: string;
    readonly dataCentre: string;
    /** Index of the rack within the data centre, from 0. */
    readonly rack: number;
    /** Number of accelerators; 0 for an endpoint. */
    readonly accelerators: number;
    readonly state: "live" | "leaving";
};
