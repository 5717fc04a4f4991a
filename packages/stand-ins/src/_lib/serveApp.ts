import type { RequestListener } from "node:http";
import { createServer } from "node:http";
import type polka from "polka";
import type { ListeningServer } from "./listen.js";
import { listen } from "./listen.js";

/**
 * Serves an application on the loopback address.
 *
 * @param app - The application with its routes.
 * @param port - The port, or 0 for any free port.
 * @returns The base address and a function that closes the server with its connections.
 */
export function serveApp(app: polka.Polka, port: number): Promise<ListeningServer> {
    return listen(createServer(app.handler as unknown as RequestListener), port);
}
