/** A virtual machine in the platform's VM list. */
export type Vm = {
    readonly id: string;
    readonly role: "worker" | "endpoint";
    readonly address: string;
    readonly dataCentre: string;
    readonly rack: number;
    readonly accelerators: number;
    readonly state: "live" | "leaving";
};
