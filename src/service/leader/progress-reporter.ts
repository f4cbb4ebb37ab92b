/** Reports jobs' progress to the members, so that they can answer users without asking the state service. */
import { ProgressLog } from "../../core/jobs/progress.js";
import type { Scheduler } from "../../core/scheduler/scheduler.js";
import type { JobProgress } from "../../io/peer-codec.js";

/** How many finished jobs are remembered for members that haven't been told yet. */
const MAX_FINISHED_JOBS = 4000;

/** Knows which jobs' progress has changed since a member was last told. */
export class ProgressReporter {
  private progress = new ProgressLog();
  /** Jobs that this leader committed, with their number of tasks; oldest first. */
  private readonly finishedJobs = new Map<string, number>();

  /** The current version; a member's next update names the version it knows. */
  get version(): number {
    return this.progress.version;
  }

  /** Starts to track the jobs of a new scheduler, without earlier changes. */
  track(scheduler: Scheduler): void {
    this.progress = new ProgressLog();
    scheduler.cluster.onProgress = (job) => this.progress.recordChange(job.spec.id);
  }

  /** Records that a job was committed as done. */
  recordDone(id: string, tasks: number): void {
    this.finishedJobs.set(id, tasks);
    if (this.finishedJobs.size > MAX_FINISHED_JOBS) {
      const oldest = this.finishedJobs.keys().next();
      if (oldest.done !== true) this.finishedJobs.delete(oldest.value);
    }
    this.progress.recordChange(id);
  }

  /** Progress that changed after `version`, or all progress if the changes since then are no longer known. */
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
