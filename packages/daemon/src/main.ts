import { receiveSignals } from "@balsamward/scheduler/receiveSignals";

// The rest of the daemon is loaded only now, since a signal ends the process until it is received.
const signals = receiveSignals({ names: ["SIGTERM", "SIGINT", "SIGHUP"] });
const { runDaemonProcess } = await import("./runDaemonProcess.js");
await runDaemonProcess(signals);
