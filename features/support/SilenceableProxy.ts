import { once } from "node:events";
import type { AddressInfo, Server, Socket } from "node:net";
import { connect, createServer } from "node:net";

type Relay = { isSilent: boolean; readonly sockets: readonly [Socket, Socket] };

/** A TCP proxy on loopback whose open connections can go silent: they stay open and carry nothing more. */
export class SilenceableProxy {
    private readonly relays: Relay[] = [];
    private readonly server: Server;

    /**
     * Creates a proxy; `listen` starts it.
     *
     * @param target - Address to which connections are relayed, as `IP:port`.
     */
    constructor(private readonly target: string) {
        this.server = createServer(socket => this.relay(socket));
    }

    /** Starts to accept connections; returns the proxy's address as `IP:port`. */
    async listen(): Promise<string> {
        this.server.listen(0, "127.0.0.1");
        await once(this.server, "listening");
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    /** Lets all open connections go silent; later ones are relayed. */
    silence(): void {
        this.relays.forEach(relay => relay.isSilent = true);
    }

    /** Resets all open connections; later ones are relayed. */
    reset(): void {
        this.relays.splice(0).forEach(({ sockets }) => sockets.forEach(socket => socket.resetAndDestroy()));
    }

    /** Closes all connections and stops accepting them. */
    close(): void {
        this.relays.forEach(({ sockets }) => sockets.forEach(socket => socket.destroy()));
        this.server.close();
    }

    private relay(caller: Socket): void {
        const [host, port] = this.target.split(":");
        const callee = connect(Number(port), host);
        const relay: Relay = { isSilent: false, sockets: [caller, callee] };
        this.relays.push(relay);
        this.forward(relay, caller, callee);
        this.forward(relay, callee, caller);
    }

    private forward(relay: Relay, from: Socket, to: Socket): void {
        from.on("data", chunk => relay.isSilent || to.write(chunk));
        from.on("error", () => {});
        from.on("close", () => relay.isSilent || to.destroy());
    }
}
