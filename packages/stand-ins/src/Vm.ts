/** An entry of the platform's VM list. */
export type Vm = {
    readonly id: string;
    readonly role: "worker" | "endpoint";
    /** Base address as `http://IP:port`, with a path where several VMs share one stand-in. */
    readonly address: string;
    readonly dataCentre: string;
    /** Number of the rack within the data centre, from 0. */
    readonly rack: number;
    /** Number of accelerators; 0 for an endpoint. */
    readonly accelerators: number;
    readonly state: "live" | "leaving";
};
