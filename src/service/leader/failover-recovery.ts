/**
 * Failover recovery: a new leader first writes its term, then loads all records and builds a scheduler from them. It
 * doesn't rely on anything that it knew before (S5).
 */
import * as Effect from "effect/Effect";
import type { ZoneMembership } from "../../core/leases/zone-membership.js";
import { keys, type TermRecord } from "../../core/records.js";
import { Scheduler } from "../../core/scheduler/scheduler.js";
import type { Instant } from "../../core/time.js";
import { now } from "../../io/clock.js";
import type { Row } from "../../io/codec.js";
import type { StateError } from "../../io/state-client.js";
import type { Leadership } from "../members/membership.js";
import type { LeaderContext } from "./leader-context.js";
import type { MachineRecorder } from "./machine-recorder.js";
import type { ProgressReporter } from "./progress-reporter.js";
import { jobOfRanges, machinesIn, rangesIn } from "./stored-records.js";

/** The loaded records, and the leadership and term under which they were loaded. */
export interface LoadedState {
  readonly leadership: Leadership;
  readonly term: TermRecord;
  /** When loading began. */
  readonly startedAt: Instant;
  readonly jobs: readonly Row[];
  /** Jobs written up to this revision are in `jobs`; later ones come from the job cache. */
  readonly jobsRevision: number;
  readonly ranges: readonly Row[];
  readonly machines: readonly Row[];
  readonly rentals: readonly Row[];
}

/** Loads the state and restores a scheduler from it. */
export class FailoverRecovery {
  constructor(
    private readonly context: LeaderContext,
    private readonly recorder: MachineRecorder,
    private readonly progress: ProgressReporter,
    private readonly zones: ZoneMembership,
  ) {}

  /** Writes a new term of this leader and loads all records; null: this node doesn't lead. */
  load(): Effect.Effect<LoadedState | null, StateError> {
    return Effect.gen(this, function* () {
      const { membership, state } = this.context.services;
      const { leadership } = membership;
      if (leadership === null || !(yield* membership.writeTerm)) return null;
      const { term } = membership;
      if (term === null) return null;
      const startedAt = now();
      const [jobs, ranges, machines, rentals] = yield* Effect.all(
        [state.list(keys.jobs), state.list(keys.ranges), state.list(keys.machines), state.list(keys.rentals)],
        { concurrency: 4 },
      );
      return {
        leadership,
        term,
        startedAt,
        jobs: jobs.rows,
        jobsRevision: jobs.revision,
        ranges: ranges.rows,
        machines: machines.rows,
        rentals: rentals.rows,
      };
    });
  }

  /** Whether this node still leads under the same term; no asynchronous step may separate this from the state's use. */
  isCurrent({ leadership, term }: LoadedState): boolean {
    const { membership } = this.context.services;
    return membership.leadership === leadership && membership.term === term;
  }

  /** Builds a scheduler from the loaded records and from later changes in the job cache. */
  restore(loaded: LoadedState): Scheduler {
    const { term, leadership, startedAt } = loaded;
    const scheduler = new Scheduler(this.context.options, term, leadership.revision, startedAt, this.zones);
    this.progress.track(scheduler);
    this.restoreMachines(scheduler, loaded);
    scheduler.setMachineTypes(this.context.services.jobCache.types);
    this.restoreJobs(scheduler, loaded);
    this.restoreRanges(scheduler, loaded);
    this.catchUp(scheduler, loaded);
    return scheduler;
  }

  private restoreMachines(scheduler: Scheduler, { machines, startedAt }: LoadedState): void {
    this.recorder.reset();
    for (const row of machines) {
      const records = machinesIn(row);
      this.recorder.store.add(row.key, records);
      for (const [id, record] of Object.entries(records)) scheduler.machineRecorded(id, record, startedAt);
    }
  }

  private restoreJobs(scheduler: Scheduler, { jobs }: LoadedState): void {
    for (const row of jobs) {
      const job = this.context.services.jobCache.putReleased(row.key, row.value, row.revision);
      if (typeof job !== "string")
        scheduler.jobReleased(job.spec, job.revision, job.acceptedAt, job.releasedAt);
    }
  }

  private restoreRanges(scheduler: Scheduler, { ranges }: LoadedState): void {
    for (const row of ranges) {
      const id = jobOfRanges(row);
      if (scheduler.cluster.jobs.has(id)) scheduler.finishesStored(id, rangesIn(row));
      else this.context.staleKeys.add(row.key);
    }
  }

  /** Applies what the job cache learned while the records were read: later jobs, and jobs that have ended. */
  private catchUp(scheduler: Scheduler, { jobsRevision }: LoadedState): void {
    const { jobCache } = this.context.services;
    for (const job of jobCache.releasedJobs.values())
      if (job.revision > jobsRevision)
        scheduler.jobReleased(job.spec, job.revision, job.acceptedAt, job.releasedAt);
    for (const job of jobCache.blockedJobs.values()) scheduler.jobBlocked(job.spec, job.acceptedAt);
    for (const id of [...scheduler.cluster.jobs.keys()])
      if (!jobCache.releasedJobs.has(id)) scheduler.jobEnded(id);
  }
}
