// Checks that the platform's own field and route names occur only in 'platform/' and 'deploy/': they are decoded in
// one place, the adapter.
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
    console.error(
        `Names of the platform's interface occur outside 'platform/'. Decode them in the adapter there:\n${found}`,
    );
    process.exitCode = 1;
}
catch (error) {
    // 'git grep' exits with status 1 if it finds no match.
    if (error.status !== 1) {
        throw error;
    }
}
