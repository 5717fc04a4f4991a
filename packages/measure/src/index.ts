export * from "./_lib/startProcess.js";
export * from "./_lib/writeSettings.js";
export * from "./constants.js";
