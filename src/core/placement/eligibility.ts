/** Which machines may be given work, and which ones a job's constraints allow, regardless of free capacity. */
import type * as Duration from "effect/Duration";
import type { Machine } from "../cluster/cluster.js";
import type { JobSpec } from "../records.js";
import { type Instant, hasElapsed } from "../time.js";
import { allowsZone } from "./admission.js";

/** Consecutive command batches without an answer after which a machine gets no new work. */
const UNREACHABLE_AFTER_BATCHES = 2;

/** What a job's constraints refer to, of an existing machine or of one that could be rented. */
export interface MachineKind {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** Whether the job's constraints on type, zone and spot allow the machine. */
export const allowsMachine = (spec: JobSpec, machine: MachineKind): boolean =>
  (spec.types === null || spec.types.includes(machine.type)) &&
  allowsZone(spec, machine.zone) &&
  (spec.spot || !machine.spot);

/**
 * Whether a task of `spec` fits nowhere if a task of `failed` fits nowhere: it needs at least as much of each resource,
 * and `failed` could run wherever `spec` could.
 */
export const isAtLeastAsDemanding = (spec: JobSpec, failed: JobSpec): boolean =>
  failed.cpus <= spec.cpus &&
  failed.gpus <= spec.gpus &&
  failed.memoryGb <= spec.memoryGb &&
  (failed.spot || !spec.spot) &&
  failed.types === null &&
  failed.zone === null;

/** Whether the machine's last heartbeat is younger than `heartbeatMaxAge` and it may be given new work (S3, S5). */
export const isUsable = (machine: Machine, now: Instant, heartbeatMaxAge: Duration.Duration): boolean =>
  isInService(machine) &&
  machine.cpus > 0 &&
  machine.addr !== null &&
  machine.unansweredBatches < UNREACHABLE_AFTER_BATCHES &&
  machine.lastHeartbeatAt !== null &&
  !hasElapsed(now, machine.lastHeartbeatAt, heartbeatMaxAge);

/** Whether the machine is recorded and confirmed, has no known fault and isn't about to be released or reclaimed. */
const isInService = (machine: Machine): boolean =>
  machine.recorded &&
  machine.confirmed &&
  !machine.failed &&
  machine.releaseRequestedAt === null &&
  machine.reclaimAt === null &&
  machine.cordonedAt === null &&
  !machine.draining;
