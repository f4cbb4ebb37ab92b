/** Checks the task events of all fake workers: no task runs twice at a time, is killed, or starts again once done. */

/** An event of a fake worker: `start TASK`, `done TASK` or `stopped TASK`. */
const EVENT_PATTERN = /^(start|done|stopped) (.+)$/;

/** One message for each event that breaks these rules; empty if none does. */
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
