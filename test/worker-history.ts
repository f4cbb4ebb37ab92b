/** Reads what happened to tasks on all stand-in workers together, and says which rules that breaks. */

/** What a worker writes down: `start TASK`, `done TASK` or `stopped TASK`. */
const EVENT = /^(start|done|stopped) (.+)$/;

/** Tasks that ran twice, were killed, or completed more often than once; empty: none did. */
export const checkHistory = (events: readonly string[]): string[] => {
  const running = new Set<string>();
  const done = new Set<string>();
  const broken: string[] = [];
  for (const event of events) {
    const [, what, task] = EVENT.exec(event) ?? [];
    if (what === undefined || task === undefined) broken.push(`not an event: ${event}`);
    else if (what === "start") {
      if (running.has(task)) broken.push(`${task} was started while it ran`);
      if (done.has(task)) broken.push(`${task} was started after it was done`);
      running.add(task);
    } else {
      if (!running.has(task)) broken.push(`${task} ended without running`);
      if (what === "stopped") broken.push(`${task} was killed`);
      else done.add(task);
      running.delete(task);
    }
  }
  return broken;
};
