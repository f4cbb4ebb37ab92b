/**
 * The leader's part of handoffs: it offers a shard to the target, begins the handoff, drains the shard, asks the owner to
 * release it, and ends what doesn't go on. Pure: facts and answers in, actions out.
 *
 * A handoff lives in one term and in one leader's process. What a term leaves behind is ended by `repairsOf`.
 */
import type { Assignment } from "./assignment.js";
import {
  type HandoffAttempt,
  HANDOFF_TIMEOUTS,
  type HandoffTimeouts,
  type MoveRequest,
  type HandoffPhase,
} from "./handoff-attempt.js";
import type { Offer, OfferAnswer, ReleaseAnswer, ReleaseRequest } from "./messages.js";
import { Refusal } from "./refusal.js";
import type { ShardId } from "./shard-id.js";
import { beginHandoff, endHandoff, type ShardWrite } from "./transitions.js";

/** What the leader sees of a shard's machines. */
export interface ShardFacts {
  readonly machines: number;
  /** Why a handoff can't begin now; null: nothing stands against it. */
  readonly obstacle: Refusal | null;
  /** Every machine has shown a fencing token that was raised after the last command: no earlier one is carried out (S2). */
  readonly fenced: boolean;
  /** A machine that keeps `fenced` from holding. */
  readonly unfencedMachine: string | null;
}

/** What became of a write. */
export type WriteOutcome = "written" | "failed" | "unknown";

/** Something that the leader's process does for the coordinator. */
export type CoordinatorAction =
  | { readonly kind: "offer"; readonly to: string; readonly offer: Offer }
  | { readonly kind: "write"; readonly id: string; readonly write: ShardWrite }
  /** Raises the fencing tokens of the shard's machines, after which `fenced` is asked for. */
  | { readonly kind: "raise"; readonly shard: ShardId }
  | { readonly kind: "release"; readonly to: string; readonly request: ReleaseRequest }
  | { readonly kind: "ended"; readonly attempt: EndedAttempt };

/** How a move ended; `refusal` null: the target owns the shard. */
export interface EndedAttempt {
  readonly request: MoveRequest;
  readonly source: string;
  readonly refusal: Refusal | null;
  readonly tookMs: number;
}

/** What the coordinator is told at each step. */
export interface CoordinatorInput {
  readonly now: number;
  readonly assignment: Assignment;
  readonly facts: (shard: ShardId) => ShardFacts;
}

/** The moves that one leader tries, and the shards whose machines get no commands meanwhile. */
export class Coordinator {
  private readonly attempts = new Map<ShardId, HandoffAttempt>();

  /** `timeouts`: how long each step may take. */
  constructor(private readonly timeouts: HandoffTimeouts = HANDOFF_TIMEOUTS) {}

  /** A coordinator in the same state that goes on by itself. */
  copy(): Coordinator {
    const copy = new Coordinator(this.timeouts);
    for (const [shard, attempt] of this.attempts) copy.attempts.set(shard, attempt);
    return copy;
  }

  /** The state as text: two coordinators with the same text behave the same. */
  stateKey(): string {
    return JSON.stringify([...this.attempts].sort(([a], [b]) => (a < b ? -1 : 1)));
  }

  /** How many moves are under way. */
  get moveCount(): number {
    return this.attempts.size;
  }

  /** The shards of which a move is under way. */
  movingShards(): readonly ShardId[] {
    return [...this.attempts.keys()];
  }

  /** Whether a move of the shard is under way. */
  isMoving(shard: ShardId): boolean {
    return this.attempts.has(shard);
  }

  /**
   * Whether no commands may be sent to the shard's machines: its record says so, or a write that makes it say so is on its
   * way. The record is asked too, since an earlier leader may have begun a handoff.
   */
  isPaused(assignment: Assignment, shard: ShardId): boolean {
    // right after a term began its records aren't read yet: what was known before holds until then
    const isKnown = assignment.inForce || !assignment.isFresh;
    if (isKnown && assignment.isInHandoff(shard)) return true;
    const phase = this.attempts.get(shard)?.phase.kind;
    return phase !== undefined && phase !== "offered";
  }

  /** Begins to try a move, or says why not. */
  startMove(request: MoveRequest, input: CoordinatorInput): readonly CoordinatorAction[] | Refusal {
    const { assignment, now } = input;
    const { shard, target } = request;
    if (this.attempts.has(shard)) return Refusal.InHandoff({ shard });
    if (assignment.term === null) return Refusal.NotInForce();
    const step = beginHandoff(assignment, shard, { id: request.id, target });
    if ("refusal" in step) return step.refusal;
    const { machines, obstacle } = input.facts(shard);
    if (obstacle !== null) return obstacle;
    const { epoch, owner } = step.write.state;
    const term = assignment.term.number;
    this.attempts.set(shard, {
      request,
      source: owner,
      epoch,
      term,
      startedAt: now,
      since: now,
      writeSentAt: now,
      phase: { kind: "offered" },
    });
    return [{ kind: "offer", to: target, offer: { id: request.id, term, shard, epoch, machines } }];
  }

  /** The target's answer; undefined: none came. */
  offerAnswered(
    shard: ShardId,
    id: string,
    answer: OfferAnswer | undefined,
    input: CoordinatorInput,
  ): readonly CoordinatorAction[] {
    const attempt = this.attempts.get(shard);
    if (attempt?.request.id !== id || attempt.phase.kind !== "offered") return [];
    if (answer === undefined)
      return this.end(attempt, Refusal.NoAnswer({ member: attempt.request.target }), input.now);
    if (answer !== null) return this.end(attempt, answer, input.now);
    // commands may have been sent since the shard was looked at
    const { obstacle } = input.facts(shard);
    if (obstacle !== null) return this.end(attempt, obstacle, input.now);
    const step = beginHandoff(input.assignment, shard, { id, target: attempt.request.target });
    if ("refusal" in step) return this.end(attempt, step.refusal, input.now);
    const { write } = step;
    const beginning = { ...attempt, since: input.now };
    return this.write(beginning, { kind: "beginning", write, failed: false }, write, input.now);
  }

  /** What became of a write of this handoff. */
  writeAnswered(
    shard: ShardId,
    id: string,
    write: ShardWrite,
    outcome: WriteOutcome,
    input: CoordinatorInput,
  ): readonly CoordinatorAction[] {
    const attempt = this.attempts.get(shard);
    if (attempt?.request.id !== id) return [];
    const { phase } = attempt;
    if (phase.kind !== "beginning" && phase.kind !== "ending") return [];
    // one without an answer is sent again, as it is, at the next step
    if (phase.write !== write || outcome === "unknown") return [];
    if (outcome === "failed") {
      this.attempts.set(shard, { ...attempt, phase: { ...phase, failed: true } });
      return this.step(input);
    }
    if (phase.kind === "ending") return this.end(attempt, phase.refusal, input.now);
    this.startDraining(attempt, input.now);
    return this.step(input);
  }

  private startDraining(attempt: HandoffAttempt, now: number): void {
    const phase: HandoffPhase = { kind: "draining", tokensRaised: false, releaseRequestedAt: null };
    this.attempts.set(attempt.request.shard, { ...attempt, since: now, phase });
  }

  /** The record is another than the one that a write rested on: this attempt goes on from what it says now. */
  private continueFromRecord(
    attempt: HandoffAttempt,
    phase: Extract<HandoffPhase, { kind: "beginning" | "ending" }>,
    input: CoordinatorInput,
  ): readonly CoordinatorAction[] {
    const { shard, id, target } = attempt.request;
    const state = input.assignment.recordOf(shard)?.state;
    if (state !== undefined && state._tag !== "Owned" && state.handoff.id === id) {
      if (state._tag === "Draining") this.startDraining(attempt, input.now);
      else this.attempts.set(shard, { ...attempt, since: input.now, phase: { kind: "released" } });
      return [];
    }
    if (state?._tag === "Owned" && state.owner === target && state.epoch > attempt.epoch)
      return this.end(attempt, null, input.now);
    const refusal = phase.kind === "ending" ? phase.refusal : Refusal.Overtaken({ shard });
    return this.end(attempt, refusal, input.now);
  }

  /** The owner's answer to the request to release. A refusal gives the handoff up. */
  releaseAnswered(
    shard: ShardId,
    id: string,
    answer: ReleaseAnswer | undefined,
    input: CoordinatorInput,
  ): readonly CoordinatorAction[] {
    const attempt = this.attempts.get(shard);
    if (attempt?.request.id !== id || attempt.phase.kind !== "draining") return [];
    // without an answer it is asked again until the time is over
    if (answer === undefined || answer === null) return [];
    return this.abort(attempt, answer, input);
  }

  /** Gives up a move. The machines get commands again once that is written. */
  cancel(shard: ShardId, input: CoordinatorInput): readonly CoordinatorAction[] | Refusal {
    const attempt = this.attempts.get(shard);
    if (attempt === undefined) return Refusal.NothingToCancel({ name: shard });
    return this.abort(attempt, Refusal.Cancelled({ shard }), input);
  }

  /** Goes on with every move: by what was read, by the facts, and by the time that has passed. */
  step(input: CoordinatorInput): readonly CoordinatorAction[] {
    return [...this.attempts.values()].flatMap((attempt) => this.advanceAttempt(attempt, input));
  }

  private advanceAttempt(attempt: HandoffAttempt, input: CoordinatorInput): readonly CoordinatorAction[] {
    const { now, assignment } = input;
    const { shard } = attempt.request;
    // what a term leaves behind is ended by the repairs of the next one
    if (assignment.term?.number !== attempt.term)
      return this.end(attempt, Refusal.TermChanged({ shard }), now);
    const { phase } = attempt;
    switch (phase.kind) {
      case "offered": {
        const isLate = now - attempt.since >= this.timeouts.offerMs;
        return isLate ? this.end(attempt, Refusal.NoAnswer({ member: attempt.request.target }), now) : [];
      }
      case "beginning":
      case "ending":
        return this.awaitWrite(attempt, phase, input);
      case "draining":
        return this.drain(attempt, phase, input);
      case "released":
        return this.awaitTake(attempt, input);
    }
  }

  /** A write is on its way: sent again as it is until it is answered, or until the record shows another revision. */
  private awaitWrite(
    attempt: HandoffAttempt,
    phase: Extract<HandoffPhase, { kind: "beginning" | "ending" }>,
    input: CoordinatorInput,
  ): readonly CoordinatorAction[] {
    const { now, assignment } = input;
    const { shard } = attempt.request;
    const revision = assignment.recordOf(shard)?.revision ?? 0;
    if (revision !== phase.write.revision) return this.continueFromRecord(attempt, phase, input);
    // one that is carried out yet is ended by the repairs: nobody is asked to release it
    if (phase.kind === "beginning" && now - attempt.since >= this.timeouts.drainMs)
      return this.end(attempt, Refusal.NotWritten({ shard }), now);
    if (phase.failed || now - attempt.writeSentAt < this.timeouts.retryMs) return [];
    return this.write(attempt, phase, phase.write, now);
  }

  private drain(
    attempt: HandoffAttempt,
    phase: Extract<HandoffPhase, { kind: "draining" }>,
    input: CoordinatorInput,
  ): readonly CoordinatorAction[] {
    const { now, assignment } = input;
    const { shard, id } = attempt.request;
    const state = assignment.recordOf(shard)?.state;
    if (state?._tag === "Released" && state.handoff.id === id) {
      this.attempts.set(shard, { ...attempt, since: now, phase: { kind: "released" } });
      return [];
    }
    if (state?._tag === "Owned" && state.epoch > attempt.epoch) return this.endFinished(attempt, input);
    const facts = input.facts(shard);
    if (now - attempt.since >= this.timeouts.drainMs)
      return this.abort(attempt, drainObstacle(attempt, facts), input);
    if (!phase.tokensRaised) {
      this.attempts.set(shard, { ...attempt, phase: { ...phase, tokensRaised: true } });
      return [{ kind: "raise", shard }];
    }
    const isDue =
      phase.releaseRequestedAt === null || now - phase.releaseRequestedAt >= this.timeouts.retryMs;
    if (!facts.fenced || !isDue) return [];
    this.attempts.set(shard, { ...attempt, phase: { ...phase, releaseRequestedAt: now } });
    const request = { id, term: attempt.term, shard, epoch: attempt.epoch };
    return [{ kind: "release", to: attempt.source, request }];
  }

  private awaitTake(attempt: HandoffAttempt, input: CoordinatorInput): readonly CoordinatorAction[] {
    const { now, assignment } = input;
    const { shard, target } = attempt.request;
    const state = assignment.recordOf(shard)?.state;
    if (state?._tag === "Owned" && state.epoch > attempt.epoch) return this.endFinished(attempt, input);
    if (now - attempt.since < this.timeouts.takeMs) return [];
    return this.abort(attempt, Refusal.NotTaken({ member: target }), input);
  }

  private endFinished(attempt: HandoffAttempt, input: CoordinatorInput): readonly CoordinatorAction[] {
    const { shard, target } = attempt.request;
    const isTaken = input.assignment.ownershipOf(shard)?.owner === target;
    return this.end(attempt, isTaken ? null : Refusal.Overtaken({ shard }), input.now);
  }

  /** Writes the end of a handoff that doesn't go on; where none was begun, it ends at once. */
  private abort(
    attempt: HandoffAttempt,
    refusal: Refusal,
    input: CoordinatorInput,
  ): readonly CoordinatorAction[] {
    const { phase, request } = attempt;
    if (phase.kind === "offered") return this.end(attempt, refusal, input.now);
    if (phase.kind === "ending") return [];
    // a beginning without an answer may be carried out yet: its answer is waited for
    if (phase.kind === "beginning") return [];
    const write = endHandoff(input.assignment, request.shard);
    if (write === null) return [];
    return this.write(attempt, { kind: "ending", write, failed: false, refusal }, write, input.now);
  }

  private write(
    attempt: HandoffAttempt,
    phase: HandoffPhase,
    write: ShardWrite,
    now: number,
  ): readonly CoordinatorAction[] {
    this.attempts.set(attempt.request.shard, { ...attempt, phase, writeSentAt: now });
    return [{ kind: "write", id: attempt.request.id, write }];
  }

  private end(attempt: HandoffAttempt, refusal: Refusal | null, now: number): readonly CoordinatorAction[] {
    this.attempts.delete(attempt.request.shard);
    const ended = {
      request: attempt.request,
      source: attempt.source,
      refusal,
      tookMs: now - attempt.startedAt,
    };
    return [{ kind: "ended", attempt: ended }];
  }
}

/** Why a shard wasn't drained and released in time. */
const drainObstacle = (attempt: HandoffAttempt, facts: ShardFacts): Refusal => {
  if (facts.unfencedMachine !== null) return Refusal.MachineNotHeard({ machine: facts.unfencedMachine });
  return Refusal.NoAnswer({ member: attempt.source });
};
