export * from "./startEndpoint.js";
export * from "./startFleet.js";
export * from "./startStore.js";
export * from "./startVmList.js";
export * from "./startWorkers.js";
export * from "./StoreModel.js";
export * from "./Vm.js";
export * from "./WorkerModel.js";
