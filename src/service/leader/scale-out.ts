/** Scale-out: requests machines. A request is stored before it is sent, so that the next leader knows of it (S10). */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { keys, type RentalRecord } from "../../core/records.js";
import type { Decision } from "../../core/scheduler/scheduler.js";
import { now } from "../../io/clock.js";
import type { Leadership } from "../members/membership.js";
import type { LeaderContext } from "./leader-context.js";

const FIRST_RETRY_PAUSE_MS = 500;
const MAX_RETRY_PAUSE_MS = 4000;

/** A decision to request machines. */
export type ScaleOutDecision = Extract<Decision, { kind: "rent" }>;

/** Sends scale-out requests until their outcome is certain. */
export class ScaleOut {
  private requestCount = 0;

  constructor(private readonly context: LeaderContext) {}

  /** Stores and sends a request. If it can't be stored it isn't sent, and its name is never reused. */
  request({ rent }: ScaleOutDecision): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const { log, membership } = this.context.services;
      const { leadership, term } = membership;
      if (leadership === null || term === null || this.context.schedulerLock === null) return;
      const name = `r-${term.number}-${++this.requestCount}`;
      const { type, zone, spot, count } = rent;
      this.context.schedulerLock.with((scheduler) =>
        scheduler.autoscaler.outstandingRequests.set(name, { offer: rent, count, requestedAt: now() }),
      );
      const record: RentalRecord = { type: type.name, zone, spot, count };
      if (!(yield* this.store(name, record, leadership))) {
        this.context.schedulerLock?.with((scheduler) =>
          scheduler.autoscaler.outstandingRequests.delete(name),
        );
        return;
      }
      log.info(
        { termNumber: term.number, request: name, type: type.name, zone, spot, count },
        "scale-out requested",
      );
      yield* this.resolve(name, record, leadership);
    });
  }

  /** Stores a request, which already counts as outstanding so that no other replaces it; true: it is stored. */
  private store(name: string, record: RentalRecord, leadership: Leadership): Effect.Effect<boolean> {
    return Effect.gen(this, function* () {
      const { rejections } = this.context;
      const result = yield* this.context.services.state
        .commit(
          [{ key: keys.leader, revision: leadership.revision }],
          [{ put: keys.rental(name), value: record }],
        )
        .pipe(Effect.orElseSucceed(() => null));
      if (result?.ok === true) rejections.reset("rental");
      else if (result?.ok === null) yield* Effect.sleep(rejections.noteRejection("rental", result.error));
      return result?.ok === true;
    });
  }

  /** Sends a stored request until its outcome is certain, then reports the machines to the scheduler. */
  resolve(name: string, record: RentalRecord, leadership: Leadership): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const { cloud, log, membership } = this.context.services;
      const { type, zone, spot, count } = record;
      for (let tries = 0; ; tries++) {
        if (membership.leadership !== leadership) return;
        const answer = yield* Effect.either(cloud.rentMachines(name, type, zone, spot, count));
        if (answer._tag === "Right") {
          const machines = answer.right ?? [];
          log.info(
            { request: name, received: machines.length, refused: answer.right === null },
            "scale-out request answered",
          );
          this.handleOutcome(name, record, machines);
          return;
        }
        // it stays outstanding until its outcome is certain, so that no machines are requested twice
        const pause = Math.min(MAX_RETRY_PAUSE_MS, FIRST_RETRY_PAUSE_MS * 2 ** tries);
        yield* Effect.sleep(Duration.millis(pause));
      }
    });
  }

  private handleOutcome(name: string, record: RentalRecord, machines: readonly string[]): void {
    // a repeat under the same name would only get the same answer, so the record is no longer needed
    this.context.staleKeys.add(keys.rental(name));
    this.context.schedulerLock?.with((scheduler) => scheduler.rentalAnswered(name, record, machines, now()));
    this.context.stepRequested.notify();
  }
}
