/** Forecasts the work that will arrive soon from recent arrivals; machines are kept, or rented, for it. */
import * as Duration from "effect/Duration";
import type { Job } from "../cluster/cluster.js";
import { type JobSpec, RANK } from "../records.js";
import { type Instant, hasElapsed } from "../time.js";

/** The forecast is based on the arrivals within this time. */
const ARRIVAL_WINDOW = Duration.seconds(45);
/** Number of arrivals that are remembered, and how many of the oldest are dropped at once when there are more. */
const MAX_ARRIVALS = 2000;
const ARRIVALS_DROPPED_AT_ONCE = 1000;

/** A number of tasks with the same spec. */
export interface TaskDemand {
  readonly spec: JobSpec;
  readonly tasks: number;
}

/** Remembers recently released jobs. */
export class ArrivalForecast {
  private arrivals: Job[] = [];

  /** `warmFor`: how far ahead the forecast reaches. */
  constructor(private readonly warmFor: Duration.Duration) {}

  /** Records that a job was released. */
  recordArrival(job: Job): void {
    this.arrivals.push(job);
    if (this.arrivals.length > MAX_ARRIVALS) this.arrivals.splice(0, ARRIVALS_DROPPED_AT_ONCE);
  }

  /** The tasks expected, by class of jobs; those of the lowest rank can wait and aren't counted. */
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

  /** Number of processors that the expected tasks need. */
  expectedCpus(now: Instant): number {
    return this.expectedTasks(now).reduce((sum, { spec, tasks }) => sum + spec.cpus * tasks, 0);
  }
}
