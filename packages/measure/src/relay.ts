import type { RequestListener } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import polka from "polka";
import { Agent } from "undici";

// Baseline of 'measure path': a minimal relay built on polka and undici that forwards to the endpoints round-robin.
const endpoints = process.argv.slice(2);
const agent = new Agent({ connections: 64, pipelining: 1 });
let endpointIndex = 0;

const app = polka();
app.post("/v1/requests", async (req, res) => {
    const chunks: Buffer[] = [];
    for await (const chunk of req as AsyncIterable<Buffer>) {
        chunks.push(chunk);
    }
    endpointIndex = (endpointIndex + 1) % endpoints.length;
    const response = await agent.request({
        origin: endpoints[endpointIndex]!,
        path: "/work",
        method: "POST",
        headers: { "content-type": "application/json" },
        body: Buffer.concat(chunks),
    });
    const body = Buffer.from(await response.body.arrayBuffer());
    res.writeHead(response.statusCode, { "content-type": "application/json", "content-length": body.length });
    res.end(body);
});
const server = createServer(app.handler as unknown as RequestListener);
server.listen(0, "127.0.0.1", () => {
    process.stdout.write(
        `${JSON.stringify({ url: `http://127.0.0.1:${(server.address() as AddressInfo).port}` })}\n`,
    );
});
process.once("SIGTERM", () => process.exit(0));
