/** A leader's scheduler with simulated machines, for scenarios that a test runs step by step. */
import * as Duration from "effect/Duration";
import type { Command, TaskStatus, Heartbeat } from "../src/core/records.js";
import { type Decision, Scheduler } from "../src/core/scheduler/scheduler.js";
import { fencingTokenOf } from "../src/core/leases/term.js";
import { instant } from "../src/core/time.js";
import { TIMINGS, TEAMS, TYPES } from "./model.js";
import { present } from "./present.js";

/** A scheduler with machines (8 CPUs each by default) that carry out each command at once and then send a heartbeat. */
export class ClusterFixture {
  now = 1000;
  readonly scheduler: Scheduler;
  /** The tasks on each machine. */
  readonly tasks = new Map<string, Map<string, TaskStatus>>();
  /** All commands in the order they were sent, with their machine and fencing token. */
  readonly sentCommands: { machine: string; command: Command; fencingToken: number }[] = [];
  private readonly emptyBatches: Extract<Decision, { kind: "commands" }>[] = [];
  private sequence = 0;
  /** The highest fencing token that the machines have seen. */
  private knownToken = fencingTokenOf(1);

  /** Machines that get no commands because their shard is being handed over. */
  readonly pausedMachines = new Set<string>();

  constructor(machines: readonly { id: string; zone: string; type?: string }[]) {
    const term = {
      number: 1,
      leaderRevision: 10,
      leader: "a",
      members: [{ name: "a", incarnation: 1, zone: "east" }],
    };
    this.scheduler = new Scheduler(
      {
        timings: TIMINGS,
        teams: new Map(TEAMS.map((team) => [team.name, team])),
        fleet: { reuse: 0.5, idleBoots: 1.5, warmFor: Duration.zero },
        startLatencyObjectives: new Map(),
        ownership: { isPaused: (machine) => this.pausedMachines.has(machine), routeOverride: () => null },
      },
      term,
      10,
      instant(0),
    );
    this.scheduler.setMachineTypes(TYPES);
    for (const { id, zone, type = "small" } of machines) {
      this.scheduler.machineRecorded(id, { type, zone, spot: false, addr: id }, instant(0));
      this.tasks.set(id, new Map());
      this.sendHeartbeat(id, zone);
    }
  }

  /** The scheduler receives a heartbeat of the machine with the tasks on it. */
  sendHeartbeat(
    id: string,
    zone = present(this.scheduler.cluster.machines.get(id)).zone,
    overrides: Partial<Heartbeat> = {},
  ): void {
    const heartbeat: Heartbeat = {
      machine: id,
      addr: id,
      type: present(this.scheduler.cluster.machines.get(id)).type,
      zone,
      spot: false,
      workerEpoch: 1,
      sequence: ++this.sequence,
      fencingToken: this.knownToken,
      reclaimNoticeSeconds: null,
      tasks: [...present(this.tasks.get(id)).values()],
      ...overrides,
    };
    this.scheduler.heartbeatReceived(heartbeat, "a", instant(this.now));
  }

  /**
   * Advances time by 500 ms: all machines send a heartbeat, the scheduler decides, and its commands are carried out.
   * Commands to `unresponsive` machines are not carried out; the scheduler is told that their outcome is unknown.
   */
  step(unresponsive: readonly string[] = []): Decision[] {
    this.now += 500;
    for (const id of this.tasks.keys()) if (this.scheduler.cluster.machines.has(id)) this.sendHeartbeat(id);
    const decisions = this.scheduler.step(instant(this.now));
    for (const decision of decisions) {
      if (decision.kind !== "commands") continue;
      if (decision.commands.length === 0) this.emptyBatches.push(decision);
      for (const command of decision.commands)
        this.sentCommands.push({ machine: decision.machine, command, fencingToken: decision.fencingToken });
      if (unresponsive.includes(decision.machine)) {
        this.scheduler.commandsAnswered(
          decision.machine,
          decision.commands,
          decision.fencingToken,
          "unknown",
          instant(this.now),
        );
        continue;
      }
      for (const command of decision.commands) this.execute(decision.machine, command);
      this.sendHeartbeat(decision.machine);
      this.knownToken = Math.max(this.knownToken, decision.fencingToken);
      this.scheduler.commandsAnswered(
        decision.machine,
        decision.commands,
        decision.fencingToken,
        "done",
        instant(this.now),
      );
    }
    return decisions;
  }

  /** Short for `scheduler`. */
  get s(): Scheduler {
    return this.scheduler;
  }

  private execute(machine: string, command: Command): void {
    const tasks = present(this.tasks.get(machine));
    const key = `${command.job}/${command.index}#${command.attempt}`;
    const base = { job: command.job, index: command.index, attempt: command.attempt };
    if (command.op === "forget") tasks.delete(key);
    else if (command.op === "stop") tasks.set(key, { ...base, state: "exited", exitReason: "stopped" });
    else tasks.set(key, { ...base, state: "running", exitReason: null });
  }

  /** All tasks on the machine exit for this reason. */
  endTasks(machine: string, exitReason: "done" | "error"): void {
    for (const [key, task] of present(this.tasks.get(machine)))
      present(this.tasks.get(machine)).set(key, { ...task, state: "exited", exitReason });
  }

  /** The tasks of all machines that have not exited. */
  activeTasks(): TaskStatus[] {
    return [...this.tasks.values()]
      .flatMap((tasks) => [...tasks.values()])
      .filter((task) => task.state !== "exited");
  }

  /** Batches without commands that were sent to the machine: each asks for a heartbeat with its fencing token. */
  heartbeatRequests(machine: string): { fencingToken: number }[] {
    return this.emptyBatches.filter((batch) => batch.machine === machine);
  }

  /** The number of commands of this kind that were sent. */
  commandCount(op: Command["op"]): number {
    return this.sentCommands.filter((sent) => sent.command.op === op).length;
  }
}

/** Three machines in one zone. */
export const EAST_MACHINES = ["n-1", "n-2", "n-3"].map((id) => ({ id, zone: "east" }));
