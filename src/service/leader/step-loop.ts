/** The loops that run the scheduler and execute its decisions, and the periodic summary for operators. */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import type { Decision } from "../../core/scheduler/scheduler.js";
import { now } from "../../io/clock.js";
import type { CommandBatch } from "../../io/peer-codec.js";
import type { CommandDispatcher } from "./command-dispatcher.js";
import type { JobCommitter } from "./job-committer.js";
import type { LeaderContext } from "./leader-context.js";
import type { MachineRecorder } from "./machine-recorder.js";
import type { ScaleIn } from "./scale-in.js";
import type { ScaleOut } from "./scale-out.js";

const MAX_STEP_INTERVAL = Duration.millis(250);
/** Delay before a step, so that events in quick succession are handled together. */
const BATCHING_DELAY = Duration.millis(35);
const AUTOSCALER_INTERVAL = Duration.millis(700);
const SUMMARY_INTERVAL = Duration.seconds(5);

/** The modules that execute the scheduler's decisions. */
export interface DecisionHandlers {
  readonly dispatcher: CommandDispatcher;
  readonly committer: JobCommitter;
  readonly recorder: MachineRecorder;
  readonly scaleOut: ScaleOut;
  readonly scaleIn: ScaleIn;
}

/** Runs the scheduler's steps while this node leads. */
export class StepLoop {
  constructor(
    private readonly context: LeaderContext,
    private readonly handlers: DecisionHandlers,
  ) {}

  private readonly stepOnce = Effect.gen(this, function* () {
    yield* this.context.stepRequested.wait(MAX_STEP_INTERVAL);
    yield* Effect.sleep(BATCHING_DELAY);
    const decisions = this.decide();
    const { dispatcher } = this.handlers;
    const batchesByMember = new Map<string | null, CommandBatch[]>();
    for (const decision of decisions) {
      if (decision.kind !== "commands") {
        yield* this.context.fork(this.execute(decision));
        continue;
      }
      const via = dispatcher.route(decision.via);
      const batches = batchesByMember.get(via) ?? [];
      if (batches.length === 0) batchesByMember.set(via, batches);
      batches.push(dispatcher.prepare(decision));
    }
    for (const [via, batches] of batchesByMember) yield* dispatcher.dispatch(via, batches);
  });

  /** Makes and executes all decisions but those on the fleet's size, while this node leads. */
  readonly run: Effect.Effect<never> = this.stepOnce.pipe(
    Effect.catchAllCause((cause) =>
      this.logFailure(cause.toString(), "unexpected error in a scheduler step"),
    ),
    Effect.forever,
  );

  private decide(): Decision[] {
    const { schedulerLock, services } = this.context;
    if (schedulerLock === null || !services.membership.isActingLeader()) return [];
    return schedulerLock.with((scheduler) => {
      this.handlers.dispatcher.expirePending(scheduler);
      return scheduler.step(now());
    });
  }

  private execute(decision: Exclude<Decision, { kind: "commands" }>): Effect.Effect<void> {
    const { committer, recorder, scaleIn, scaleOut } = this.handlers;
    switch (decision.kind) {
      case "commit":
        return committer.commit(decision.job, decision.tasks);
      case "record":
        return Effect.sync(() => recorder.add(decision.machine, decision.record));
      case "rent":
        return scaleOut.request(decision);
      case "release":
        return scaleIn.release(decision);
      case "note":
        return Effect.sync(() =>
          this.context.services.log.info({ termNumber: this.context.termNumber }, decision.text),
        );
      default:
        return decision satisfies never;
    }
  }

  private readonly autoscaleOnce = Effect.gen(this, function* () {
    yield* Effect.sleep(AUTOSCALER_INTERVAL);
    const { schedulerLock, services } = this.context;
    if (schedulerLock === null || !services.membership.isActingLeader()) return;
    for (const decision of schedulerLock.with((scheduler) => scheduler.stepAutoscaler(now())))
      if (decision.kind !== "commands") yield* this.context.fork(this.execute(decision));
  });

  /** Makes and executes the decisions on the fleet's size, while this node leads. */
  readonly autoscale: Effect.Effect<never> = this.autoscaleOnce.pipe(
    Effect.catchAllCause((cause) =>
      this.logFailure(cause.toString(), "unexpected error in an autoscaler step"),
    ),
    Effect.forever,
  );

  /** Logs the scheduler's summary figures for operators every few seconds. */
  readonly logSummaries: Effect.Effect<never> = Effect.gen(this, function* () {
    yield* Effect.sleep(SUMMARY_INTERVAL);
    this.context.schedulerLock?.with((scheduler) =>
      this.context.services.log.info(
        { termNumber: scheduler.term.number, ...scheduler.summary(now()) },
        "summary",
      ),
    );
  }).pipe(Effect.forever);

  private logFailure(cause: string, message: string): Effect.Effect<void> {
    return Effect.sync(() => this.context.services.log.error({ cause }, message));
  }
}
