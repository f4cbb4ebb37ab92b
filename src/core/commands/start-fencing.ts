/**
 * Fences off the start commands of attempts that workers forget (S4). A worker recognises a copy of a start only while it
 * knows the attempt: once it has forgotten it, a late copy would run the attempt again, beside a newer one on another
 * machine or after its job was cancelled. So the worker is told to forget an attempt only under a token higher than that
 * of its start, and refuses every copy of the start from then on.
 */
import { attemptKey, type Cluster, type Machine, type TaskAttempt } from "../cluster/cluster.js";
import { MAX_TOKEN_STEP, termNumberOf } from "../leases/term.js";
import type { Command } from "../records.js";

/** With this many steps of a machine's token left the leader begins a new term, long before they are used up. */
const NEW_TERM_AT_STEPS_LEFT = 100_000;

/** Whether a machine's token can be raised again in this term. */
export const canRaiseToken = (machine: Machine): boolean => machine.fencingTokenStep < MAX_TOKEN_STEP;

/** Raises a machine's token within the term, if any of the term's steps are left (S2). */
export const raiseToken = (cluster: Cluster, machine: Machine): void => {
  if (!canRaiseToken(machine)) return;
  machine.fencingTokenStep++;
  cluster.highestTokenStep = Math.max(cluster.highestTokenStep, machine.fencingTokenStep);
};

/** Whether this term is running out of steps on some machine, so that the leader has to begin a new term (S2). */
export const isRunningOutOfSteps = (cluster: Cluster): boolean =>
  cluster.highestTokenStep >= MAX_TOKEN_STEP - NEW_TERM_AT_STEPS_LEFT;

/** The attempts that these commands are about, of those that are on the machine. */
const attemptsOf = (machine: Machine, commands: readonly Command[], op: Command["op"]): TaskAttempt[] =>
  commands
    .filter((command) => command.op === op)
    .map(({ job, index, attempt }) => machine.attempts.get(attemptKey(job, index, attempt)))
    .filter((attempt) => attempt !== undefined);

/** Whether an attempt's start may have been sent under the machine's present token. */
const hasPresentToken = (machine: Machine, attempt: TaskAttempt, termNumber: number): boolean =>
  termNumberOf(attempt.attempt) >= termNumber && attempt.startTokenStep >= machine.fencingTokenStep;

/**
 * Raises the machine's token if one of the attempts that this batch has the worker forget was started under it, and notes
 * the token under which the batch starts others. Called right before the batch is sent.
 */
export const fenceBatch = (
  cluster: Cluster,
  machine: Machine,
  commands: readonly Command[],
  termNumber: number,
): void => {
  const forgotten = attemptsOf(machine, commands, "forget");
  if (forgotten.some((attempt) => hasPresentToken(machine, attempt, termNumber)))
    raiseToken(cluster, machine);
  for (const attempt of attemptsOf(machine, commands, "start"))
    attempt.startTokenStep = machine.fencingTokenStep;
};
