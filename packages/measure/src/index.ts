export * from "./constants.js";
export * from "./startProcess.js";
export * from "./writeSettings.js";
