// Checks that the committed generated code matches the schemas: generates it into a temporary folder and compares
// the files.
import { execFileSync } from "node:child_process";
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";

const COMMITTED = "packages/schema/src/generated";
const folder = mkdtempSync(".generated-");
try {
    const template = readFileSync("buf.gen.yaml", "utf8").replace(COMMITTED, join(folder, "out"));
    writeFileSync(join(folder, "buf.gen.yaml"), template);
    execFileSync("npx", ["buf", "generate", "--template", join(folder, "buf.gen.yaml")], {
        stdio: "inherit",
    });
    const differing = listFiles(join(folder, "out")).filter(file =>
        !sameFile(join(folder, "out", file), join(COMMITTED, file))
    );
    const stale = listFiles(COMMITTED).filter(file => !listFiles(join(folder, "out")).includes(file));
    if (differing.length + stale.length > 0) {
        console.error(
            `The generated code does not match the schemas: ${
                [...differing, ...stale].join(", ")
            }. Run 'npm run generate'.`,
        );
        process.exitCode = 1;
    }
}
finally {
    rmSync(folder, { recursive: true });
}

function listFiles(root) {
    return readdirSync(root, { recursive: true, withFileTypes: true })
        .filter(entry => entry.isFile())
        .map(entry => join(entry.parentPath, entry.name).slice(root.length + 1));
}

function sameFile(left, right) {
    try {
        return readFileSync(left, "utf8") === readFileSync(right, "utf8");
    }
    catch {
        return false;
    }
}
