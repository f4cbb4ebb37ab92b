/** A leader's scheduler among machines that execute and report at once, for scenarios played step by step. */
import * as Duration from "effect/Duration";
import type { Command, TaskStatus, Heartbeat } from "../src/core/records.js";
import { type Decision, Scheduler } from "../src/core/scheduler/scheduler.js";
import { fencingTokenOf } from "../src/core/leases/term.js";
import { instant } from "../src/core/time.js";
import { TIMINGS, TEAMS, TYPES } from "./model.js";

/** A scheduler with small machines (8 processors each) that execute and report at once. */
export class ClusterFixture {
  now = 1000;
  readonly s: Scheduler;
  readonly tasks = new Map<string, Map<string, TaskStatus>>();
  readonly sent: { machine: string; order: Command; token: number }[] = [];
  private readonly asked: Extract<Decision, { kind: "commands" }>[] = [];
  private seq = 0;
  /** The token that the machines know. */
  private token = fencingTokenOf(1);

  /** Machines that get no commands, their shard being handed over. */
  readonly paused = new Set<string>();

  constructor(machines: readonly { id: string; zone: string; type?: string }[]) {
    const term = {
      number: 1,
      leaderRevision: 10,
      leader: "a",
      members: [{ name: "a", incarnation: 1, zone: "east" }],
    };
    this.s = new Scheduler(
      {
        timings: TIMINGS,
        teams: new Map(TEAMS.map((team) => [team.name, team])),
        fleet: { reuse: 0.5, idleBoots: 1.5, warmFor: Duration.zero },
        startLatencyObjectives: new Map(),
        ownership: { isPaused: (machine) => this.paused.has(machine), wayTo: () => null },
      },
      term,
      10,
      instant(0),
    );
    this.s.setTypes(TYPES);
    for (const { id, zone, type = "small" } of machines) {
      this.s.recorded(id, { type, zone, spot: false, addr: id }, instant(0));
      this.tasks.set(id, new Map());
      this.report(id, zone);
    }
  }

  report(id: string, zone = this.s.cluster.machines.get(id)!.zone, more: Partial<Heartbeat> = {}): void {
    const heartbeat: Heartbeat = {
      machine: id,
      addr: id,
      type: this.s.cluster.machines.get(id)!.type,
      zone,
      spot: false,
      workerEpoch: 1,
      sequence: ++this.seq,
      fencingToken: this.token,
      reclaimNoticeSeconds: null,
      tasks: [...this.tasks.get(id)!.values()],
      ...more,
    };
    this.s.heartbeatReceived(heartbeat, "a", instant(this.now));
  }

  /** Everything reports, and the decisions are carried out; `late` machines don't answer orders. */
  step(late: readonly string[] = []): Decision[] {
    this.now += 500;
    for (const id of this.tasks.keys()) if (this.s.cluster.machines.has(id)) this.report(id);
    const decisions = this.s.step(instant(this.now));
    for (const decision of decisions) {
      if (decision.kind !== "commands") continue;
      if (decision.commands.length === 0) this.asked.push(decision);
      for (const command of decision.commands)
        this.sent.push({ machine: decision.machine, order: command, token: decision.fencingToken });
      if (late.includes(decision.machine)) {
        this.s.commandsAnswered(
          decision.machine,
          decision.commands,
          decision.fencingToken,
          "unknown",
          instant(this.now),
        );
        continue;
      }
      for (const command of decision.commands) this.execute(decision.machine, command);
      this.report(decision.machine);
      this.token = Math.max(this.token, decision.fencingToken);
      this.s.commandsAnswered(
        decision.machine,
        decision.commands,
        decision.fencingToken,
        "done",
        instant(this.now),
      );
    }
    return decisions;
  }

  private execute(machine: string, command: Command): void {
    const tasks = this.tasks.get(machine)!;
    const key = `${command.job}/${command.index}#${command.attempt}`;
    const base = { job: command.job, index: command.index, attempt: command.attempt };
    if (command.op === "forget") tasks.delete(key);
    else if (command.op === "stop") tasks.set(key, { ...base, state: "exited", exitReason: "stopped" });
    else tasks.set(key, { ...base, state: "running", exitReason: null });
  }

  end(machine: string, exitReason: "done" | "error"): void {
    for (const [key, task] of this.tasks.get(machine)!)
      this.tasks.get(machine)!.set(key, { ...task, state: "exited", exitReason });
  }
  live(): TaskStatus[] {
    return [...this.tasks.values()].flatMap((m) => [...m.values()]).filter((task) => task.state !== "exited");
  }
  questions(machine: string): { fencingToken: number }[] {
    return this.asked.filter((d) => d.machine === machine);
  }
  ops(op: Command["op"]): number {
    return this.sent.filter((x) => x.order.op === op).length;
  }
}
/** Three of them in one zone. */
export const EAST = ["n-1", "n-2", "n-3"].map((id) => ({ id, zone: "east" }));
