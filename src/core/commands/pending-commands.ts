/** The commands that one step decides on, by machine. */
import * as Duration from "effect/Duration";
import type { TaskAttempt } from "../cluster/cluster.js";
import type { Command } from "../records.js";

/** Collects commands, so that each machine gets those of one step in one batch. */
export class PendingCommands {
  /** What is sent in any case. */
  readonly commands = new Map<string, Command[]>();
  /** What can wait until something else goes to the same machine. */
  readonly deferred = new Map<string, Command[]>();

  /** Adds a command for a machine. */
  push(machine: string, command: Command): void {
    appendCommand(this.commands, machine, command);
  }

  /** Adds all that was decided on here to `other`, in order. */
  appendTo(other: PendingCommands): void {
    for (const [machine, commands] of this.commands)
      for (const command of commands) other.push(machine, command);
  }

  /** Lets a worker forget an attempt: with the machine's next commands, or, where it is `sendAlone`, even without any. */
  forget(taskAttempt: TaskAttempt, sendAlone: boolean): void {
    const { job, index, attempt } = taskAttempt;
    appendCommand(sendAlone ? this.commands : this.deferred, taskAttempt.machine, {
      op: "forget",
      job,
      index,
      attempt,
      gracePeriodSeconds: 0,
    });
  }

  /** Tells a worker to start an attempt, which the cluster already has (S4). */
  start(machine: string, job: string, index: number, attempt: number): void {
    this.push(machine, { op: "start", job, index, attempt, gracePeriodSeconds: 0 });
  }

  /** Tells a task to stop, with the time that it needs to save. */
  stop(
    taskAttempt: TaskAttempt,
    gracePeriodSeconds = taskAttempt.spec === null ? 0 : Duration.toSeconds(taskAttempt.spec.saveDuration),
  ): void {
    taskAttempt.stopping = true;
    const { job, index, attempt } = taskAttempt;
    this.push(taskAttempt.machine, { op: "stop", job, index, attempt, gracePeriodSeconds });
  }

  /** A machine's commands, with what was waiting for them put first. */
  batchFor(machine: string): Command[] | null {
    const commands = this.commands.get(machine);
    if (commands === undefined) return null;
    const deferred = this.deferred.get(machine);
    return deferred === undefined ? commands : [...deferred, ...commands];
  }
}

const appendCommand = (commands: Map<string, Command[]>, machine: string, command: Command): void => {
  const list = commands.get(machine);
  if (list === undefined) commands.set(machine, [command]);
  else list.push(command);
};
