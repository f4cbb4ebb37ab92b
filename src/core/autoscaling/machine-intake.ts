/** Adds and updates machines from the records in the state service and from the cloud's answers. */
import * as Duration from "effect/Duration";
import { addMachine, removeMachine, type Machine, newMachine, setMachine } from "../cluster/cluster.js";
import type { MachineRecord } from "../records.js";
import type { SchedulerContext } from "../scheduler/scheduler-context.js";
import { type Instant, plus } from "../time.js";

/** A machine in the cloud's list. */
export interface ListedMachine {
  readonly id: string;
  readonly record: MachineRecord;
  readonly failed: boolean;
  readonly ageMs: number;
}

/**
 * Number of released machines that are remembered, since delayed lists and heartbeats may still name them. Nothing
 * arrives about the oldest ones any more.
 */
const MAX_REMEMBERED_RELEASES = 20_000;

/** Maintains the machines of the cluster; none is added again after its release was answered (S3). */
export class MachineIntake {
  private readonly releasedMachines = new Set<string>();

  constructor(private readonly context: SchedulerContext) {}

  /** Adds or updates a machine whose record was read from, or written to, the state service; null: it was released. */
  addRecorded(id: string, record: MachineRecord, now: Instant): Machine | null {
    if (this.releasedMachines.has(id)) return null;
    const { cluster } = this.context;
    const known = cluster.machines.get(id);
    const machine = known ?? newMachine(id, record, now);
    if (known === undefined) addMachine(cluster, machine);
    machine.recording = false;
    machine.addr ??= record.addr;
    setMachine(cluster, machine, { recorded: true });
    if (known === undefined) this.context.applyType(machine);
    return machine;
  }

  /** The write of the machine's record failed, and may be tried again. */
  recordWriteFailed(id: string): void {
    const machine = this.context.cluster.machines.get(id);
    if (machine !== undefined) machine.recording = false;
  }

  /**
   * Adds a machine that was rented, or named by a heartbeat or the cloud's list; null: it was released. Without a
   * record no leader ever started anything on it (S5), so a new machine is confirmed.
   */
  addDiscovered(id: string, record: MachineRecord, now: Instant): Machine | null {
    if (this.releasedMachines.has(id)) return null;
    const { cluster } = this.context;
    const known = cluster.machines.get(id);
    if (known !== undefined) return known;
    const machine = newMachine(id, record, now);
    addMachine(cluster, machine);
    setMachine(cluster, machine, { confirmed: true });
    this.context.applyType(machine);
    return machine;
  }

  /** Adds and updates machines from the cloud's list. */
  mergeList(rows: readonly ListedMachine[], now: Instant): void {
    for (const row of rows) {
      const created = plus(now, Duration.millis(-row.ageMs));
      const machine = this.addDiscovered(row.id, row.record, created);
      if (machine === null) continue;
      if (machine.lastHeartbeatAt === null && created < machine.createdAt) machine.createdAt = created;
      machine.addr ??= row.record.addr;
      if (row.failed) machine.failed = true;
    }
  }

  /** The machine's release was carried out; returns whether the machine was still known. */
  removeReleased(id: string): boolean {
    const { cluster } = this.context;
    const machine = cluster.machines.get(id);
    if (machine === undefined) return false;
    this.releasedMachines.add(id);
    this.forgetOldestRelease();
    removeMachine(cluster, machine);
    return true;
  }

  /** The machine's release failed; it is requested again later. */
  releaseFailed(id: string, now: Instant): void {
    const machine = this.context.cluster.machines.get(id);
    if (machine !== undefined) machine.releaseRequestedAt = now;
  }

  private forgetOldestRelease(): void {
    if (this.releasedMachines.size <= MAX_REMEMBERED_RELEASES) return;
    for (const oldest of this.releasedMachines) {
      this.releasedMachines.delete(oldest);
      return;
    }
  }
}
