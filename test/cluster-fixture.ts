/** A leader's scheduler among machines that execute and send a heartbeat at once, for scenarios played step by step. */
import * as Duration from "effect/Duration";
import type { Command, TaskStatus, Heartbeat } from "../src/core/records.js";
import { type Decision, Scheduler } from "../src/core/scheduler/scheduler.js";
import { fencingTokenOf } from "../src/core/leases/term.js";
import { instant } from "../src/core/time.js";
import { TIMINGS, TEAMS, TYPES } from "./model.js";
import { present } from "./present.js";

/** A scheduler with small machines (8 processors each) that execute and send a heartbeat at once. */
export class ClusterFixture {
  now = 1000;
  readonly scheduler: Scheduler;
  /** By machine, the tasks on it. */
  readonly tasks = new Map<string, Map<string, TaskStatus>>();
  /** All commands, in the order they were sent, with their machine and fencing token. */
  readonly sentCommands: { machine: string; command: Command; fencingToken: number }[] = [];
  private readonly emptyBatches: Extract<Decision, { kind: "commands" }>[] = [];
  private sequence = 0;
  /** The token that the machines know. */
  private knownToken = fencingTokenOf(1);

  /** Machines that get no commands, their shard being handed over. */
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

  /** A machine sends a heartbeat with the tasks that it has. */
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

  /** All machines send a heartbeat, and the decisions are carried out; `unresponsive` machines don't answer commands. */
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

  /** The scheduler by the short name that the tests of shard drains use. */
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

  /** All tasks on the machine end with this reason. */
  endTasks(machine: string, exitReason: "done" | "error"): void {
    for (const [key, task] of present(this.tasks.get(machine)))
      present(this.tasks.get(machine)).set(key, { ...task, state: "exited", exitReason });
  }

  /** Tasks that have not exited, on all machines. */
  activeTasks(): TaskStatus[] {
    return [...this.tasks.values()]
      .flatMap((tasks) => [...tasks.values()])
      .filter((task) => task.state !== "exited");
  }

  /** Batches without commands that were sent to the machine: they ask for a heartbeat under their token. */
  heartbeatRequests(machine: string): { fencingToken: number }[] {
    return this.emptyBatches.filter((batch) => batch.machine === machine);
  }

  /** How many commands of this kind were sent. */
  commandCount(op: Command["op"]): number {
    return this.sentCommands.filter((sent) => sent.command.op === op).length;
  }
}

/** Three machines in one zone. */
export const EAST_MACHINES = ["n-1", "n-2", "n-3"].map((id) => ({ id, zone: "east" }));
