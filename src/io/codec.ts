/**
 * The names on the wire to users, workers, the cloud and the state service, and nowhere else. Inside, the field's standard
 * terms are used; `codec/` has one module for each of the four.
 */
export * from "./codec/cloud.js";
export * from "./codec/state-service.js";
export * from "./codec/user-api.js";
export * from "./codec/workers.js";
