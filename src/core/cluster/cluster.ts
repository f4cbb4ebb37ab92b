/**
 * The leader's model of the cluster and the functions that change it; other modules import them from here. Only these
 * functions change the indices, which let a decision visit only what changed or waits. The tests check each index
 * against a full recount.
 */
export { addAttempt, updateAttempt, removeAttempt } from "./cluster-attempts.js";
export { machineOf, scheduleReconciliation } from "./cluster-indices.js";
export { addJob, removeJob, markFinished } from "./cluster-jobs.js";
export {
  addMachine,
  recordCommandAnswer,
  removeMachine,
  recordHeartbeat,
  type MachineChange,
  setMachine,
} from "./cluster-machines.js";
export {
  type Cluster,
  type TaskAttempt,
  attemptKey,
  isActive,
  type Job,
  type Machine,
  newCluster,
  newMachine,
  isSameOrNewer,
  occupiesCapacity,
  rankOf,
  type HeartbeatId,
} from "./cluster-state.js";
