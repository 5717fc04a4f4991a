// What the entry daemon uses of undici.
export { default as Agent } from "undici/lib/dispatcher/agent.js";
