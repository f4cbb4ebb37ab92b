/** Which work is likely to arrive soon, judged by what arrived lately: machines are kept, or rented, for it. */
import * as Duration from "effect/Duration";
import type { Job } from "../cluster/cluster.js";
import { type JobSpec, RANK } from "../records.js";
import { type Instant, hasElapsed } from "../time.js";

/** Arrivals of so long ago say what is to come. */
const ARRIVAL_WINDOW = Duration.seconds(45);
/** Remembered arrivals; beyond that the oldest are dropped, so many at a time. */
const MAX_ARRIVALS = 2000;
const ARRIVALS_DROPPED_AT_ONCE = 1000;

/** So many tasks of a job. */
export interface TaskDemand {
  readonly spec: JobSpec;
  readonly tasks: number;
}

/** Remembers released jobs for a while. */
export class ArrivalForecast {
  private arrivals: Job[] = [];

  /** `warmFor`: how far the forecast reaches. */
  constructor(private readonly warmFor: Duration.Duration) {}

  /** A job was released. */
  recordArrival(job: Job): void {
    this.arrivals.push(job);
    if (this.arrivals.length > MAX_ARRIVALS) this.arrivals.splice(0, ARRIVALS_DROPPED_AT_ONCE);
  }

  /** Work expected soon, a row for each class of jobs; none for the lowest rank, which can wait. */
  expectedTasks(now: Instant): TaskDemand[] {
    this.arrivals = this.arrivals.filter((job) => !hasElapsed(now, job.releasedAt, ARRIVAL_WINDOW));
    const byClass = new Map<string, { spec: JobSpec; tasks: number }>();
    for (const { spec, rank } of this.arrivals) {
      if (rank === RANK.low) continue;
      const demand = byClass.get(spec.className);
      if (demand === undefined) byClass.set(spec.className, { spec, tasks: spec.tasks });
      else demand.tasks += spec.tasks;
    }
    const share = Duration.toMillis(this.warmFor) / Duration.toMillis(ARRIVAL_WINDOW);
    return [...byClass.values()]
      .map(({ spec, tasks }) => ({ spec, tasks: Math.ceil(tasks * share) }))
      .filter((demand) => demand.tasks > 0);
  }

  /** Processors that the expected work needs. */
  expectedCpus(now: Instant): number {
    return this.expectedTasks(now).reduce((sum, { spec, tasks }) => sum + spec.cpus * tasks, 0);
  }
}
