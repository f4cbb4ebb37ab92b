/** The commands decided on in one step, by machine. */
import * as Duration from "effect/Duration";
import type { TaskAttempt } from "../cluster/cluster.js";
import type { Command } from "../records.js";

/** Collects commands, so that each machine gets all commands of a step in one batch. */
export class PendingCommands {
  /** Commands that are sent in this step. */
  readonly commands = new Map<string, Command[]>();
  /** Commands that are sent only together with others for the same machine. */
  readonly deferred = new Map<string, Command[]>();

  /** Adds a command that is sent in this step. */
  push(machine: string, command: Command): void {
    appendCommand(this.commands, machine, command);
  }

  /** Appends these commands, without deferred ones, to `other`. */
  appendTo(other: PendingCommands): void {
    for (const [machine, commands] of this.commands)
      for (const command of commands) other.push(machine, command);
  }

  /** Tells a worker to forget an attempt: together with other commands or, if `sendAlone`, even without any. */
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

  /** Tells a worker to start an attempt, which must already have been added to the cluster (S4). */
  start(machine: string, job: string, index: number, attempt: number): void {
    this.push(machine, { op: "start", job, index, attempt, gracePeriodSeconds: 0 });
  }

  /** Tells a worker to stop an attempt, by default with the time that its job needs to save. */
  stop(
    taskAttempt: TaskAttempt,
    gracePeriodSeconds = taskAttempt.spec === null ? 0 : Duration.toSeconds(taskAttempt.spec.saveDuration),
  ): void {
    taskAttempt.stopping = true;
    const { job, index, attempt } = taskAttempt;
    this.push(taskAttempt.machine, { op: "stop", job, index, attempt, gracePeriodSeconds });
  }

  /** A machine's batch, with the deferred commands first; null: there is nothing to send in this step. */
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
