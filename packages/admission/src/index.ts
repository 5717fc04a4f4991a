export * from "./constants.js";
export * from "./EndpointPool.js";
export * from "./FairQueue.js";
export * from "./Limiter.js";
export * from "./RetryBudget.js";
