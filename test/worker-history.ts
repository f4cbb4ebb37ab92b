/** Reads what happened to tasks on all stand-in workers together, and says which rules that breaks. */

/** What a worker writes down: `start TASK`, `done TASK` or `stopped TASK`. */
const EVENT_PATTERN = /^(start|done|stopped) (.+)$/;

/** Tasks that ran twice, were killed, or completed more often than once; empty: none did. */
export const historyViolations = (events: readonly string[]): string[] => {
  const running = new Set<string>();
  const done = new Set<string>();
  const violations: string[] = [];
  for (const event of events) {
    const [, kind, task] = EVENT_PATTERN.exec(event) ?? [];
    if (kind === undefined || task === undefined) violations.push(`not an event: ${event}`);
    else if (kind === "start") {
      if (running.has(task)) violations.push(`${task} was started while it ran`);
      if (done.has(task)) violations.push(`${task} was started after it was done`);
      running.add(task);
    } else {
      if (!running.has(task)) violations.push(`${task} ended without running`);
      if (kind === "stopped") violations.push(`${task} was killed`);
      else done.add(task);
      running.delete(task);
    }
  }
  return violations;
};
