/** How far jobs have come, for the members: they answer users' questions from it without asking the state service. */
import { ProgressLog } from "../../core/jobs/progress.js";
import type { Scheduler } from "../../core/scheduler/scheduler.js";
import type { JobProgress } from "../../io/peer-codec.js";

/** Jobs whose end is kept for members that haven't heard of it. */
const MAX_FINISHED_JOBS = 4000;

/** Which jobs' progress changed since a member last heard of it. */
export class ProgressReporter {
  private progress = new ProgressLog();
  /** Jobs that this leader committed, with their number of tasks; the oldest come first. */
  private readonly finishedJobs = new Map<string, number>();

  /** The version that a member names when it asks for what changed since. */
  get version(): number {
    return this.progress.version;
  }

  /** A new scheduler's progress is told from the start. */
  track(scheduler: Scheduler): void {
    this.progress = new ProgressLog();
    scheduler.cluster.onProgress = (job) => this.progress.recordChange(job.spec.id);
  }

  /** A job has its commit as done. */
  recordDone(id: string, tasks: number): void {
    this.finishedJobs.set(id, tasks);
    if (this.finishedJobs.size > MAX_FINISHED_JOBS) {
      const oldest = this.finishedJobs.keys().next();
      if (oldest.done !== true) this.finishedJobs.delete(oldest.value);
    }
    this.progress.recordChange(id);
  }

  /** What changed after `version`; everything where that is no longer known. */
  since(scheduler: Scheduler, version: number): JobProgress[] {
    const changed = this.progress.changedSince(version);
    const progress: JobProgress[] = [];
    for (const id of changed ?? scheduler.cluster.jobs.keys()) {
      const job = scheduler.cluster.jobs.get(id);
      const tasks = this.finishedJobs.get(id);
      if (tasks !== undefined) progress.push({ job: id, done: tasks, running: 0, over: true });
      else if (job !== undefined)
        progress.push({ job: id, done: job.done.size, running: job.runningTasks, over: false });
    }
    return progress;
  }
}
