/**
 * The leader's state and the functions that change it: the one place that the rest of the core imports them from. Its
 * indices are changed by these functions alone, so that a decision looks only at what changed or what waits; the tests
 * check each index against a full count.
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
