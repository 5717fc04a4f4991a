// Builds the packages and bundles the entry daemon into a single file in 'target/'.
import { build } from "esbuild";
import { execFileSync } from "node:child_process";

execFileSync("npx", ["tsc", "--build", "platform"], { stdio: "inherit" });
await build({
    entryPoints: ["platform/dist/main.js"],
    outfile: "target/balsamward-entry.mjs",
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    minifyWhitespace: true,
    minifySyntax: true,
    banner: {
        js: "import { createRequire } from \"node:module\"; const require = createRequire(import.meta.url);",
    },
    logLevel: "warning",
});
