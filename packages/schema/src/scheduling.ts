export * from "./generated/balsamward/scheduling/v1/cluster_pb.js";
export * from "./generated/balsamward/scheduling/v1/entry_settings_pb.js";
export * from "./generated/balsamward/scheduling/v1/records_pb.js";
export * from "./generated/balsamward/scheduling/v1/work_pb.js";
export * from "./losslessTextEncoding.js";
