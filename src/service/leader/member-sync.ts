/** Passes members' updates to the scheduler: heartbeats, stored finishes, lease acknowledgements, command outcomes. */
import * as Duration from "effect/Duration";
import type { Heartbeat } from "../../core/records.js";
import type { Scheduler } from "../../core/scheduler/scheduler.js";
import { hasElapsed, type Instant, instant, minus } from "../../core/time.js";
import { now } from "../../io/clock.js";
import type { SyncRequest, SyncResponse } from "../../io/peer-codec.js";
import type { CommandDispatcher } from "./command-dispatcher.js";
import type { LeaderContext } from "./leader-context.js";
import type { ProgressReporter } from "./progress-reporter.js";

/** Every node sends requests to the state service more often than this, so it notices an outage within this time. */
const OUTAGE_DETECTION_TIME = Duration.millis(1200);

const describeTasks = (heartbeat: Heartbeat): string =>
  heartbeat.tasks
    .map(
      ({ job, index, state, exitReason }) =>
        `${job}/${index} ${state}${exitReason === null ? "" : ` ${exitReason}`}`,
    )
    .join(", ");

/** Answers members' updates, and remembers which members reach the state service. */
export class MemberSync {
  private readonly memberStatus = new Map<
    string,
    { readonly reportedAt: Instant; readonly reachesStateService: boolean }
  >();

  constructor(
    private readonly context: LeaderContext,
    private readonly dispatcher: CommandDispatcher,
    private readonly progress: ProgressReporter,
  ) {}

  /** Handles a member's update. Refused unless this node leads the request's term and that term names the member. */
  readonly sync = (request: SyncRequest): SyncResponse => {
    const { member, membership } = this.context.services;
    this.memberStatus.set(request.member, {
      reportedAt: now(),
      reachesStateService: request.reachesStateService,
    });
    const base = {
      termNumber: membership.term?.number ?? 0,
      leaderClockMark: now(),
      progressVersion: this.progress.version,
      reachesStateService: member.reachesStateService(),
    };
    const { schedulerLock } = this.context;
    if (schedulerLock === null || !this.mayAccept(request)) {
      membership.observeTerm(request.termNumber);
      return { ...base, accepted: false, progress: [] };
    }
    const receivedAt = now();
    return schedulerLock.with((scheduler) => {
      this.apply(scheduler, request, receivedAt);
      const progress = this.progress.since(scheduler, request.progressVersion);
      return { ...base, accepted: true, progress };
    });
  };

  private mayAccept(request: SyncRequest): boolean {
    const { membership } = this.context.services;
    const { term } = membership;
    if (term === null || request.termNumber !== term.number) return false;
    const isMember = term.members.some(
      ({ name, incarnation }) => name === request.member && incarnation === request.incarnation,
    );
    return isMember && membership.isActingLeader();
  }

  private apply(scheduler: Scheduler, request: SyncRequest, receivedAt: Instant): void {
    this.applyHeartbeats(scheduler, request, receivedAt);
    for (const { job, ranges } of request.storedFinishes) scheduler.finishesStored(job, ranges);
    this.applyContacts(scheduler, request, receivedAt);
    for (const { id, outcome, workerEpoch, sequence } of request.commandResults)
      this.dispatcher.recordOutcome(scheduler, id, outcome, { workerEpoch, sequence });
    if (request.heartbeats.length + request.storedFinishes.length + request.commandResults.length > 0)
      this.context.stepRequested.notify();
  }

  private applyHeartbeats(scheduler: Scheduler, request: SyncRequest, receivedAt: Instant): void {
    const { log } = this.context.services;
    for (const { heartbeat, ageMs } of request.heartbeats) {
      const heardAt = minus(receivedAt, Duration.millis(ageMs));
      scheduler.heartbeatReceived(heartbeat, request.member, receivedAt, heardAt);
      if (log.isLevelEnabled("debug"))
        log.debug({ machine: heartbeat.machine, tasks: describeTasks(heartbeat) }, "heartbeat received");
    }
  }

  /** Reports when workers were last heard and last answered, the latter for lease expiry (S3). Negative ages: never. */
  private applyContacts(scheduler: Scheduler, request: SyncRequest, receivedAt: Instant): void {
    const renewals = [];
    for (const { machine, answerAgeMs, heartbeatAgeMs } of request.contacts) {
      if (heartbeatAgeMs >= 0)
        scheduler.contactReported(machine, minus(receivedAt, Duration.millis(heartbeatAgeMs)));
      if (answerAgeMs >= 0) renewals.push({ machine, at: minus(receivedAt, Duration.millis(answerAgeMs)) });
    }
    const { member, incarnation, termNumber, leaderClockMark } = request;
    const completeUpTo = leaderClockMark < 0 ? null : instant(leaderClockMark);
    scheduler.leaseRenewalsReported({ member, incarnation, termNumber, completeUpTo, renewals }, receivedAt);
  }

  /**
   * Whether this node can't reach the state service although another node can: that node said so long enough after the
   * requests of this one began to fail that it would have noticed a general outage.
   */
  isStateOutageLocal(): boolean {
    const { member, state } = this.context.services;
    const since = state.failingSince;
    if (since === null) return false;
    return [...this.memberStatus, ...member.peerStatus].some(
      ([name, status]) =>
        name !== this.context.options.self &&
        status.reachesStateService &&
        hasElapsed(status.reportedAt, since, OUTAGE_DETECTION_TIME),
    );
  }
}
