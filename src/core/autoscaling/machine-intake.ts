/** Takes in what the state service and the cloud say of machines. */
import * as Duration from "effect/Duration";
import { addMachine, removeMachine, type Machine, newMachine, setMachine } from "../cluster/cluster.js";
import type { MachineRecord } from "../records.js";
import type { SchedulerContext } from "../scheduler/scheduler-context.js";
import { type Instant, plus } from "../time.js";

/** A machine as the cloud lists it. */
export interface ListedMachine {
  readonly id: string;
  readonly record: MachineRecord;
  readonly failed: boolean;
  readonly ageMs: number;
}

/** Released machines that are remembered. Late lists and heartbeats may name machines that are gone; of the oldest nothing comes any more. */
const MAX_REMEMBERED_RELEASES = 20_000;

/** The machines: none is taken in again after its release was answered (S3). */
export class MachineIntake {
  private readonly releasedMachines = new Set<string>();

  constructor(private readonly context: SchedulerContext) {}

  /** A machine record read from the state service, or one just written; null if the machine is gone. */
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

  /** The write of a machine's record failed: it is decided on again. */
  recordWriteFailed(id: string): void {
    const machine = this.context.cluster.machines.get(id);
    if (machine !== undefined) machine.recording = false;
  }

  /**
   * A machine that was rented, or found in a heartbeat or a list. Without a record no leader ever started anything on it
   * (S5), so it is confirmed; null if it is gone.
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

  /** The cloud's list of machines. */
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

  /** Whether the machine was still known; it is gone from now on. */
  removeReleased(id: string): boolean {
    const { cluster } = this.context;
    const machine = cluster.machines.get(id);
    if (machine === undefined) return false;
    this.releasedMachines.add(id);
    this.forgetOldestRelease();
    removeMachine(cluster, machine);
    return true;
  }

  /** The release was not carried out: it is requested again a while from now. */
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
