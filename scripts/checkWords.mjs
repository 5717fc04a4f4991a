// Checks that the platform's own words stand in 'platform/' and 'deploy/' only: they are decoded once, in the adapter.
import { execFileSync } from "node:child_process";

const WORDS = [
    "run-start",
    "run-stop",
    "kv-txn",
    "kv-key",
    "kv-range",
    "kv-watch",
    "kv-keep",
    "kv-lease",
    "memMb",
    "estRuntimeMs",
    "lastSeen",
    "antiAffinity",
    "apiKeys",
    "admissionCheck",
    "machine-upkeep",
    "machine-move",
];
const PLACES = ["packages", "features", "demo", ":!*.snap"];

try {
    const found = execFileSync("git", ["grep", "-nE", WORDS.join("|"), "--", ...PLACES], {
        encoding: "utf8",
    });
    console.error(`Words of the platform outside 'platform/'. Decode them in the adapter:\n${found}`);
    process.exitCode = 1;
}
catch (error) {
    // 'git grep' exits with 1 if it finds nothing.
    if (error.status !== 1) {
        throw error;
    }
}
