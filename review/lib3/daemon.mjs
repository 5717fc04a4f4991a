import { spawn } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";

const RESTART_DELAY_MS = 400;

/** Renders the settings template of the deploy file as the platform does, for the placeholders that it uses. */
function renderSettings(root, fields) {
    const template = readFileSync(`${root}/deploy/settings.ini.template`, "utf8");
    return template.replace(/\{\{([^}|]+)(\|json)?\}\}/g, (_match, path, isJson) => {
        const value = path.split(".").reduce((fields, name) => fields?.[name], fields);
        if (isJson !== undefined) {
            return JSON.stringify(value);
        }
        return Array.isArray(value) ? value.join(",") : String(value ?? "");
    });
}

/** An entry daemon as a process, with the command of the deploy file; it is started again whenever it ends. */
export class Daemon {
    lives = 0;
    isClosed = false;

    /**
     * @param {object} options - Repository root, name, settings fields, settings path, and functions `record` and
     * `onStart`, which get a line for the record and the process id.
     */
    constructor(options) {
        this.options = options;
        this.name = options.name;
        this.front = options.fields.listen.front;
        this.ready = options.fields.listen.ready;
    }

    start() {
        const { root, fields, settingsPath, record, onStart, logPath } = this.options;
        writeFileSync(settingsPath, renderSettings(root, fields));
        const [, command] = /^run = "(.*)"$/m.exec(readFileSync(`${root}/deploy/system.toml`, "utf8"));
        const [program, ...parameters] = command.split(" ");
        const child = spawn(program, parameters, {
            cwd: root,
            env: {
                PATH: process.env["PATH"],
                HOME: process.env["HOME"],
                BALSAMWARD_NODE_FILE: settingsPath,
            },
            stdio: ["ignore", "pipe", "pipe"],
        });
        this.child = child;
        this.lives += 1;
        onStart(child.pid);
        const write = chunk => writeFileSync(logPath, chunk, { flag: "a" });
        child.stdout.on("data", write);
        child.stderr.on("data", write);
        child.on("exit", (code, signal) => {
            record(`daemon ${this.name} ended: code ${code}, signal ${signal}`);
            if (!this.isClosed) {
                setTimeout(() => this.isClosed || this.start(), RESTART_DELAY_MS);
            }
        });
    }

    send(signal) {
        this.child.kill(signal);
    }

    close() {
        this.isClosed = true;
        this.child?.kill("SIGKILL");
    }
}
