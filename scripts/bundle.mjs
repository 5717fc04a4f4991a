// Builds the packages and bundles the entry daemon into a few files in 'target/': a small one, which is run, and those
// that it loads.
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { fileURLToPath } from "node:url";

/** Replaces undici by the one class of it that the daemon uses, since each start loads the whole bundle. */
const undiciAgentOnly = {
    name: "undici-agent-only",
    setup: ({ onResolve }) => {
        onResolve(
            { filter: /^undici$/ },
            () => ({ path: fileURLToPath(new URL("undiciAgent.mjs", import.meta.url)) }),
        );
    },
};

execFileSync("npx", ["tsc", "--build", "platform"], { stdio: "inherit" });
await build({
    entryPoints: { "balsamward-entry": "platform/dist/main.js" },
    outdir: "target",
    outExtension: { ".js": ".mjs" },
    chunkNames: "balsamward-entry-[name]",
    bundle: true,
    splitting: true,
    platform: "node",
    target: "node20",
    format: "esm",
    minifyWhitespace: true,
    minifySyntax: true,
    plugins: [undiciAgentOnly],
    banner: {
        js: "import { createRequire } from \"node:module\"; const require = createRequire(import.meta.url);",
    },
    logLevel: "warning",
});
