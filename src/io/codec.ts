/**
 * Encoders and decoders for the interfaces to users, workers, the cloud and the state service; `codec/` has one module for
 * each. Names that are used only on the wire stay in these modules: the rest of the code uses standard terms.
 */
export * from "./codec/cloud.js";
export * from "./codec/state-service.js";
export * from "./codec/user-api.js";
export * from "./codec/workers.js";
