/**
 * The leader's side of handoffs: it offers a shard to the target, begins the handoff, drains the shard, asks the owner to
 * release it, and ends handoffs that make no progress. It does no I/O: it is given facts and answers, and returns actions.
 *
 * A handoff belongs to one term and to one leader process. `repairsOf` ends handoffs left over from earlier terms.
 */
import type { Assignment } from "./assignment.js";
import {
  HANDOFF_TIMEOUTS,
  type HandoffAttempt,
  type HandoffPhase,
  type HandoffTimeouts,
  type MoveRequest,
} from "./handoff-attempt.js";
import type { Offer, OfferAnswer, ReleaseAnswer, ReleaseRequest } from "./messages.js";
import { Refusal } from "./refusal.js";
import type { ShardId } from "./shard-id.js";
import { beginHandoff, endHandoff, type ShardWrite } from "./transitions.js";

/** What the leader knows of a shard's machines. */
export interface ShardFacts {
  readonly machines: number;
  /** Why a handoff can't begin now; null if it can. */
  readonly obstacle: Refusal | null;
  /** Every machine has seen a fencing token raised after the last command, so no earlier command is executed (S2). */
  readonly fenced: boolean;
  /** A machine because of which `fenced` is false; null if it is true. */
  readonly unfencedMachine: string | null;
}

/** The outcome of a write. */
export type WriteOutcome = "written" | "failed" | "unknown";

/** An action that the leader's process carries out for the coordinator. */
export type CoordinatorAction =
  | { readonly kind: "offer"; readonly to: string; readonly offer: Offer }
  | { readonly kind: "write"; readonly id: string; readonly write: ShardWrite }
  /** Raises the fencing tokens of the shard's machines; `ShardFacts.fenced` then tells when all machines have seen them. */
  | { readonly kind: "raise"; readonly shard: ShardId }
  | { readonly kind: "release"; readonly to: string; readonly request: ReleaseRequest }
  | { readonly kind: "ended"; readonly attempt: EndedAttempt };

/** The end of a move; `refusal` null: the target owns the shard. */
export interface EndedAttempt {
  readonly request: MoveRequest;
  readonly source: string;
  readonly refusal: Refusal | null;
  readonly tookMs: number;
}

/** The coordinator's input at each step. */
export interface CoordinatorInput {
  readonly now: number;
  readonly assignment: Assignment;
  readonly facts: (shard: ShardId) => ShardFacts;
}

/** The moves in progress of one leader. */
export class Coordinator {
  private readonly attempts = new Map<ShardId, HandoffAttempt>();

  constructor(private readonly timeouts: HandoffTimeouts = HANDOFF_TIMEOUTS) {}

  /** An independent copy in the same state. */
  copy(): Coordinator {
    const copy = new Coordinator(this.timeouts);
    for (const [shard, attempt] of this.attempts) copy.attempts.set(shard, attempt);
    return copy;
  }

  /** The state as text: two coordinators with the same key behave the same. */
  stateKey(): string {
    return JSON.stringify([...this.attempts].sort(([a], [b]) => (a < b ? -1 : 1)));
  }

  /** The number of moves in progress. */
  get moveCount(): number {
    return this.attempts.size;
  }

  /** The shards with a move in progress. */
  movingShards(): readonly ShardId[] {
    return [...this.attempts.keys()];
  }

  /** Whether a move of the shard is in progress. */
  isMoving(shard: ShardId): boolean {
    return this.attempts.has(shard);
  }

  /**
   * Whether no commands may be sent to the shard's machines: a handoff has begun according to its record, or the write that
   * begins one is in flight. The record matters too, since an earlier leader may have begun the handoff.
   */
  isPaused(assignment: Assignment, shard: ShardId): boolean {
    // right after a new term began, the records known from before apply until newer ones are read
    const isKnown = assignment.inForce || !assignment.isFresh;
    if (isKnown && assignment.isInHandoff(shard)) return true;
    const phase = this.attempts.get(shard)?.phase.kind;
    return phase !== undefined && phase !== "offered";
  }

  /** Starts a move, or returns why it can't start. */
  startMove(request: MoveRequest, input: CoordinatorInput): readonly CoordinatorAction[] | Refusal {
    const { assignment, now } = input;
    const { shard, target } = request;
    if (this.attempts.has(shard)) return Refusal.InHandoff({ shard });
    if (assignment.term === null) return Refusal.NotInForce();
    const transition = beginHandoff(assignment, shard, { id: request.id, target });
    if ("refusal" in transition) return transition.refusal;
    const { machines, obstacle } = input.facts(shard);
    if (obstacle !== null) return obstacle;
    const { epoch, owner } = transition.write.state;
    const term = assignment.term.number;
    this.attempts.set(shard, {
      request,
      source: owner,
      epoch,
      term,
      startedAt: now,
      phaseStartedAt: now,
      writeSentAt: now,
      phase: { kind: "offered" },
    });
    return [{ kind: "offer", to: target, offer: { id: request.id, term, shard, epoch, machines } }];
  }

  /** Handles the target's answer to an offer; undefined: there was no answer. */
  onOfferAnswer(
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
    // commands may have been sent since the offer
    const { obstacle } = input.facts(shard);
    if (obstacle !== null) return this.end(attempt, obstacle, input.now);
    const transition = beginHandoff(input.assignment, shard, { id, target: attempt.request.target });
    if ("refusal" in transition) return this.end(attempt, transition.refusal, input.now);
    const { write } = transition;
    const beginning = { ...attempt, phaseStartedAt: input.now };
    return this.write(beginning, { kind: "beginning", write, failed: false }, write, input.now);
  }

  /** Handles the outcome of a write of a handoff. */
  onWriteOutcome(
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
    // a write without an answer is sent again unchanged by a later step
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
    this.attempts.set(attempt.request.shard, { ...attempt, phaseStartedAt: now, phase });
  }

  /** The record has changed since the revision that a write required: continues from what the record says now. */
  private continueFromRecord(
    attempt: HandoffAttempt,
    phase: Extract<HandoffPhase, { kind: "beginning" | "ending" }>,
    input: CoordinatorInput,
  ): readonly CoordinatorAction[] {
    const { shard, id, target } = attempt.request;
    const state = input.assignment.recordOf(shard)?.state;
    if (state !== undefined && state._tag !== "Owned" && state.handoff.id === id) {
      if (state._tag === "Draining") this.startDraining(attempt, input.now);
      else this.attempts.set(shard, { ...attempt, phaseStartedAt: input.now, phase: { kind: "released" } });
      return [];
    }
    if (state?._tag === "Owned" && state.owner === target && state.epoch > attempt.epoch)
      return this.end(attempt, null, input.now);
    const refusal = phase.kind === "ending" ? phase.refusal : Refusal.Overtaken({ shard });
    return this.end(attempt, refusal, input.now);
  }

  /** Handles the owner's answer to a release request. A refusal aborts the handoff. */
  onReleaseAnswer(
    shard: ShardId,
    id: string,
    answer: ReleaseAnswer | undefined,
    input: CoordinatorInput,
  ): readonly CoordinatorAction[] {
    const attempt = this.attempts.get(shard);
    if (attempt?.request.id !== id || attempt.phase.kind !== "draining") return [];
    // without an answer the request is repeated until the timeout
    if (answer === undefined || answer === null) return [];
    return this.abort(attempt, answer, input);
  }

  /** Cancels a move. The machines get commands again once the end of the handoff is written. */
  cancel(shard: ShardId, input: CoordinatorInput): readonly CoordinatorAction[] | Refusal {
    const attempt = this.attempts.get(shard);
    if (attempt === undefined) return Refusal.NothingToCancel({ name: shard });
    return this.abort(attempt, Refusal.Cancelled({ shard }), input);
  }

  /** Advances every move as far as the records, the facts and the elapsed time allow. */
  step(input: CoordinatorInput): readonly CoordinatorAction[] {
    return [...this.attempts.values()].flatMap((attempt) => this.advanceAttempt(attempt, input));
  }

  private advanceAttempt(attempt: HandoffAttempt, input: CoordinatorInput): readonly CoordinatorAction[] {
    const { now, assignment } = input;
    const { shard } = attempt.request;
    // a handoff that has begun is ended by the next term's repairs
    if (assignment.term?.number !== attempt.term)
      return this.end(attempt, Refusal.TermChanged({ shard }), now);
    const { phase } = attempt;
    switch (phase.kind) {
      case "offered": {
        const isLate = now - attempt.phaseStartedAt >= this.timeouts.offerMs;
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

  /** Sends an unanswered write again, unchanged, until it is answered or the record has another revision. */
  private awaitWrite(
    attempt: HandoffAttempt,
    phase: Extract<HandoffPhase, { kind: "beginning" | "ending" }>,
    input: CoordinatorInput,
  ): readonly CoordinatorAction[] {
    const { now, assignment } = input;
    const { shard } = attempt.request;
    const revision = assignment.recordOf(shard)?.revision ?? 0;
    if (revision !== phase.write.revision) return this.continueFromRecord(attempt, phase, input);
    // if the write is executed later, repairs end the handoff; the owner is never asked to release the shard
    if (phase.kind === "beginning" && now - attempt.phaseStartedAt >= this.timeouts.drainMs)
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
      this.attempts.set(shard, { ...attempt, phaseStartedAt: now, phase: { kind: "released" } });
      return [];
    }
    if (state?._tag === "Owned" && state.epoch > attempt.epoch) return this.endAfterNewOwner(attempt, input);
    const facts = input.facts(shard);
    if (now - attempt.phaseStartedAt >= this.timeouts.drainMs)
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
    if (state?._tag === "Owned" && state.epoch > attempt.epoch) return this.endAfterNewOwner(attempt, input);
    if (now - attempt.phaseStartedAt < this.timeouts.takeMs) return [];
    return this.abort(attempt, Refusal.NotTaken({ member: target }), input);
  }

  private endAfterNewOwner(attempt: HandoffAttempt, input: CoordinatorInput): readonly CoordinatorAction[] {
    const { shard, target } = attempt.request;
    const isTaken = input.assignment.ownershipOf(shard)?.owner === target;
    return this.end(attempt, isTaken ? null : Refusal.Overtaken({ shard }), input.now);
  }

  /** Aborts a move: writes the end of its handoff, or ends it at once if no handoff has begun. */
  private abort(
    attempt: HandoffAttempt,
    refusal: Refusal,
    input: CoordinatorInput,
  ): readonly CoordinatorAction[] {
    const { phase, request } = attempt;
    if (phase.kind === "offered") return this.end(attempt, refusal, input.now);
    if (phase.kind === "ending") return [];
    // the write that begins the handoff may still be executed: its answer is awaited
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

/** The refusal for a shard that wasn't drained and released in time. */
const drainObstacle = (attempt: HandoffAttempt, facts: ShardFacts): Refusal => {
  if (facts.unfencedMachine !== null) return Refusal.MachineNotHeard({ machine: facts.unfencedMachine });
  return Refusal.NoAnswer({ member: attempt.source });
};
