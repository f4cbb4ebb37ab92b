/** Scale-out: requests for machines, each stored before it is sent, so that the next leader knows of it (S10). */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { keys, type RentalRecord } from "../../core/records.js";
import type { Decision } from "../../core/scheduler/scheduler.js";
import { now } from "../../io/clock.js";
import type { Leadership } from "../members/membership.js";
import type { LeaderContext } from "./leader-context.js";

const FIRST_RETRY_PAUSE_MS = 500;
const MAX_RETRY_PAUSE_MS = 4000;

/** The machines that a decision asks for. */
export type ScaleOutDecision = Extract<Decision, { kind: "rent" }>;

/** Sends scale-out requests until their outcome is certain. */
export class ScaleOut {
  private requestCount = 0;

  constructor(private readonly context: LeaderContext) {}

  /** Stores and sends a request. One that can't be stored isn't sent, and its name is never used again. */
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

  /** Whether the request is stored. As long as this takes it counts as outstanding, so no other takes its place. */
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

  /** Sends a stored request until its outcome is certain, then tells the scheduler of the machines. */
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
            "scale-out answered",
          );
          this.handleOutcome(name, record, machines);
          return;
        }
        // while it is uncertain it stays outstanding, so nothing is requested twice
        const pause = Math.min(MAX_RETRY_PAUSE_MS, FIRST_RETRY_PAUSE_MS * 2 ** tries);
        yield* Effect.sleep(Duration.millis(pause));
      }
    });
  }

  private handleOutcome(name: string, record: RentalRecord, machines: readonly string[]): void {
    // sent again under the same name it would only get the same answer: its record can go in its turn
    this.context.staleKeys.add(keys.rental(name));
    this.context.schedulerLock?.with((scheduler) => scheduler.rentalAnswered(name, record, machines, now()));
    this.context.stepRequested.notify();
  }
}
