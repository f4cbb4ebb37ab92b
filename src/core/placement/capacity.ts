/** Arithmetic on the free capacity of machines and the needs of tasks: processors, GPUs, gigabytes of memory. */
import type { Machine } from "../cluster/cluster.js";
import type { JobSpec } from "../records.js";
import { CAPACITY_EPSILON } from "./quota.js";

/** Avoids a division by zero for a task that needs none of a resource. */
const MIN_DEMAND = 1e-9;

/** An amount of each resource. */
export interface Capacity {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** The capacity that no task on the machine occupies. */
export const freeCapacity = (machine: Machine): Capacity => ({
  cpus: machine.cpus - machine.used.cpus,
  gpus: machine.gpus - machine.used.gpus,
  memoryGb: machine.memoryGb - machine.used.memoryGb,
});

/** Whether one task of the job fits. */
export const fits = (spec: JobSpec, capacity: Capacity): boolean =>
  spec.cpus <= capacity.cpus + CAPACITY_EPSILON &&
  spec.gpus <= capacity.gpus + CAPACITY_EPSILON &&
  spec.memoryGb <= capacity.memoryGb + CAPACITY_EPSILON;

/** How many tasks of the job fit side by side. */
export const tasksThatFit = (spec: JobSpec, capacity: Capacity): number =>
  Math.max(
    0,
    Math.floor(
      Math.min(
        (capacity.cpus + CAPACITY_EPSILON) / Math.max(spec.cpus, MIN_DEMAND),
        spec.gpus > 0 ? (capacity.gpus + CAPACITY_EPSILON) / spec.gpus : Infinity,
        (capacity.memoryGb + CAPACITY_EPSILON) / Math.max(spec.memoryGb, MIN_DEMAND),
      ),
    ),
  );

/** Subtracts the needs of a number of tasks from `capacity`; a negative number gives capacity back. */
export const reserve = (spec: JobSpec, capacity: Capacity, tasks: number): void => {
  capacity.cpus -= tasks * spec.cpus;
  capacity.gpus -= tasks * spec.gpus;
  capacity.memoryGb -= tasks * spec.memoryGb;
};
