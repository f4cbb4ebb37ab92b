/** Scale-in: returns machines to the cloud, and removes their records once they are certainly gone (S3). */
import * as Effect from "effect/Effect";
import type { Decision } from "../../core/scheduler/scheduler.js";
import { now } from "../../io/clock.js";
import type { LeaderContext } from "./leader-context.js";
import type { MachineRecorder } from "./machine-recorder.js";

const MAX_LOGGED_MACHINES = 5;

/** A decision to return machines. */
export type ScaleInDecision = Extract<Decision, { kind: "release" }>;

/** Returns machines and reports to the scheduler whether they are gone. */
export class ScaleIn {
  constructor(
    private readonly context: LeaderContext,
    private readonly recorder: MachineRecorder,
  ) {}

  /** Returns machines to the cloud. */
  release({ machines, reason }: ScaleInDecision): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const { cloud, log, membership } = this.context.services;
      if (membership.leadership === null) return;
      const { termNumber } = this.context;
      const loggedMachines = machines.slice(0, MAX_LOGGED_MACHINES);
      log.info(
        { count: machines.length, machines: loggedMachines, reason, termNumber },
        "scale-in requested",
      );
      this.dropEmptyMachineRecords(machines);
      const gone = yield* cloud.releaseMachines(machines).pipe(
        Effect.as(true),
        Effect.orElseSucceed(() => false),
      );
      this.context.schedulerLock?.with((scheduler) => scheduler.releaseAnswered(machines, gone, now()));
      this.context.stepRequested.notify();
      if (gone) for (const id of machines) this.recorder.store.remove(id);
    });
  }

  /** Removes the records of empty machines: no task will start there, so the next leader needn't wait for them. */
  private dropEmptyMachineRecords(machines: readonly string[]): void {
    this.context.schedulerLock?.with((scheduler) => {
      for (const id of machines) {
        const machine = scheduler.cluster.machines.get(id);
        if (machine !== undefined && machine.confirmed && machine.attempts.size === 0)
          this.recorder.store.remove(id);
      }
    });
  }
}
