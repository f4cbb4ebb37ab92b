/** Explicit ownership of machines: shards, their owners, and handoffs of shards between controllers. */
export * from "./accounting.js";
export * from "./assignment.js";
export * from "./coordinator.js";
export * from "./handoff-attempt.js";
export * from "./messages.js";
export * from "./owner-view.js";
export * from "./rebalancer.js";
export * from "./refusal.js";
export * from "./rendezvous.js";
export * from "./repairs.js";
export * from "./shard-id.js";
export * from "./shard-state.js";
export * from "./transitions.js";
