/**
 * Jobs that depend on others: their records in the state service, and the users who submit, query and cancel them through
 * any controller. Answers of the state service may be late or missing.
 */
import { reviewWaitingJobs, stopReviewing } from "./job-releases.js";
import {
  type JobRow,
  type Fanin,
  type Snapshot,
  type JobView,
  type Process,
  type Host,
  type JobStatus,
  ANSWER_TIMEOUT_MS,
  STATUS_REQUEST_INTERVAL_MS,
} from "./job-views.js";
import { readStatus } from "./job-status.js";
import { acceptSubmission, cancelAtNode } from "./submissions.js";
import { type JobSpec, type JobOutcome } from "../../src/core/records.js";
import { StatusProbes, UnansweredRequests } from "./status-requests.js";
import { MixedVersions, type Version } from "./versions.js";

/** The waiting jobs of a simulated cluster, and the users who submitted them. */
export class WaitingJobs<N extends Process> {
  /** The records of waiting jobs and their fan-in sets in the state service. */
  readonly waiting = new Map<string, JobRow>();
  readonly fanins = new Map<string, Fanin>();
  /** The view of the process that committed a job and got the answer. */
  readonly committedBy = new Map<string, JobView>();
  /** Jobs that users have submitted. */
  readonly sent = new Map<string, JobSpec>();
  /** When users were first told that a job is accepted. */
  readonly acceptedAt = new Map<string, number>();
  readonly cancelRequested = new Set<string>();
  /** The first final answer about each job. */
  readonly finalAnswers = new Map<string, { outcome: JobOutcome; at: number }>();
  nextRequestsAt = 0;
  readonly statusProbes: StatusProbes<N>;
  readonly versions = new MixedVersions();
  readonly unansweredRequests = new UnansweredRequests();

  constructor(readonly host: Host<N>) {
    this.statusProbes = new StatusProbes<N>({
      nodes: host.nodes,
      random: () => host.random(),
      after: (ms, run) => host.after(ms, run),
      queryStatus: (node, id) => host.whenAwake(node, () => node.alive && this.queryStatus(node, id))(),
      resubmitAt: (node, id) => this.sendTo(node, this.sent.get(id)!),
      cancel: (id) => this.cancel(id),
      count: (what) => host.count(what),
    });
  }

  /** The records that a process of this version reads. */
  snapshot(revision: number, version: Version): Snapshot {
    const { host, waiting, fanins } = this;
    if (version !== "old")
      return { jobs: new Map(host.jobs), waiting: new Map(waiting), fanins: new Map(fanins), revision };
    const jobs = new Map(host.isWithoutGuard("version_lists") ? [...waiting, ...host.jobs] : host.jobs);
    return { jobs, waiting: new Map(), fanins: new Map(), revision };
  }

  /** Submits a job through random controllers until it is answered, once its parents are accepted. */
  submit(spec: JobSpec): void {
    this.sent.set(spec.id, spec);
    this.send(spec);
  }
  send(spec: JobSpec): void {
    const { host } = this;
    if (this.acceptedAt.has(spec.id)) return;
    if (!this.maySend(spec)) return host.after(100, () => this.send(spec));
    this.sendOnce(spec);
    host.after(ANSWER_TIMEOUT_MS, () => this.send(spec));
  }
  maySend(spec: JobSpec): boolean {
    const isOpen = this.versions.usersSendDependents || this.host.isWithoutGuard("upgrade_first");
    return spec.dependsOn.every((p) => isOpen && (!this.sent.has(p) || this.acceptedAt.has(p)));
  }
  sendOnce(spec: JobSpec): void {
    this.sendTo(this.randomNode(), spec);
  }
  sendTo(node: N, spec: JobSpec): void {
    this.host.after(
      this.host.delayMs(),
      this.host.whenAwake(node, () => {
        if (!this.receivesRequests(node)) return;
        if (node.view.isUnfinished(spec.id)) this.queryStatus(node, spec.id);
        else acceptSubmission(this, node, spec, false, 0);
      }),
    );
  }
  /** Submits a job once more, whether or not it was answered. */
  resubmit(id: string): void {
    const spec = this.sent.get(id)!;
    if (!this.maySend(spec)) return this.host.after(100, () => this.resubmit(id));
    this.host.count("submissions repeated");
    this.sendOnce(spec);
  }
  randomNode(): N {
    const nodes = this.versions.nodesForUsers(this.host.nodes);
    return nodes[Math.floor(this.host.random() * nodes.length)]!;
  }

  requestStatus(node: N, id: string): void {
    const { host } = this;
    host.whenAwake(node, () => this.receivesRequests(node) && this.queryStatus(node, id))();
    if (!this.versions.usersRetryElsewhere) return;
    const next = host.nodes[(host.nodes.indexOf(node) + 1) % host.nodes.length]!;
    host.after(ANSWER_TIMEOUT_MS, () => this.unansweredRequests.isOpen(id) && this.requestStatus(next, id));
  }
  /** Whether requests reach this process; those to a process that users now avoid are dropped. */
  receivesRequests(node: N): boolean {
    return node.alive && this.versions.nodesForUsers([node]).length > 0;
  }

  /** Has users query all accepted jobs without a final answer, and now and then ended ones. */
  step(): void {
    const { host } = this;
    for (const id of this.acceptedAt.keys())
      if (!this.isStored(id))
        host.reportViolation("forgotten", `${id}: accepted, but not stored, at ${host.now()}`);
    if (host.now() < this.nextRequestsAt || this.sent.size === 0) return;
    this.nextRequestsAt = host.now() + STATUS_REQUEST_INTERVAL_MS;
    for (const id of this.acceptedAt.keys()) {
      if (this.finalAnswers.has(id) && host.random() > 0.1) continue;
      const node = this.randomNode();
      host.after(host.random() * STATUS_REQUEST_INTERVAL_MS, () => {
        this.unansweredRequests.requestSent(id, host.now());
        this.requestStatus(node, id);
      });
    }
    for (const id of this.unansweredRequests.forgotten(host.now(), host.faultFreeSince()))
      host.reportViolation("forgotten", `${id}: no status request answered, at ${host.now()}`);
  }

  isAccepted(id: string): boolean {
    return this.acceptedAt.has(id);
  }
  isStored(id: string): boolean {
    return this.host.commits.has(id) || this.host.jobs.has(id) || this.waiting.has(id);
  }
  /** Whether all submitted jobs are accepted and none waits, as a downgrade requires. */
  hasNoWaitingJobs(): boolean {
    return this.waiting.size === 0 && [...this.sent.keys()].every((id) => this.acceptedAt.has(id));
  }
  /** Jobs that are not accepted, not stored, still waiting, or ended with their set left behind. */
  unserved(): string[] {
    const { jobs, commits } = this.host;
    const open = [...this.sent.keys()].filter(
      (id) => !this.acceptedAt.has(id) || !(commits.has(id) || jobs.has(id)),
    );
    const leftoverSets = [...this.fanins.keys()].filter((id) => commits.has(id));
    return [...open, ...this.waiting.keys(), ...leftoverSets];
  }

  /** Checks the answer that a job has ended. */
  receiveOutcome(id: string, outcome: JobOutcome, byUser = false): void {
    const { host } = this;
    if (byUser) this.cancelRequested.add(id);
    const earlier = this.finalAnswers.get(id);
    if (earlier !== undefined && earlier.outcome !== outcome)
      host.reportViolation("went_back", `${id}: ${earlier.outcome}, then ${outcome} at ${host.now()}`);
    if (earlier === undefined) {
      this.finalAnswers.set(id, { outcome, at: host.now() });
      if (this.sent.has(id)) this.statusProbes.answered(id, outcome);
    }
    if (outcome === "cancelled" && !this.cancelRequested.has(id) && !this.hasCancelledAncestor(id))
      host.reportViolation("went_back", `${id}: cancelled without a request at ${host.now()}`);
    if (this.sent.has(id)) this.markAccepted(id);
  }
  /** Checks the answer that a job is unfinished. */
  receiveUnfinished(id: string, askedAt: number): void {
    const { host } = this;
    const earlier = this.finalAnswers.get(id);
    if (earlier !== undefined && earlier.at < askedAt)
      host.reportViolation("went_back", `${id}: ${earlier.outcome}, then queued or running at ${host.now()}`);
    for (const ancestor of this.ancestors(id)) {
      const answer = this.finalAnswers.get(ancestor);
      if (answer?.outcome === "cancelled" && host.now() > answer.at + host.cancelDeadlineMs)
        host.reportViolation(
          "orphaned",
          `${id}: ${ancestor} was cancelled at ${answer.at}, unfinished at ${host.now()}`,
        );
    }
    this.markAccepted(id);
  }
  markAccepted(id: string): void {
    if (this.acceptedAt.has(id)) return;
    this.acceptedAt.set(id, this.host.now());
    if (!this.finalAnswers.has(id)) this.statusProbes.answered(id, "accepted");
  }
  receiveAnswer(id: string, status: JobStatus | null, askedAt: number): void {
    const { host } = this;
    // the user has stopped waiting for the answer
    if (status === null || host.now() > askedAt + ANSWER_TIMEOUT_MS) return;
    if (status.kind !== "absent" && !this.sent.has(id) && !host.commits.has(id) && !host.jobs.has(id))
      host.reportViolation("invented", `${id}: never submitted, but reported at ${host.now()}`);
    this.unansweredRequests.requestAnswered(id, host.now());
    if (status.kind === "final") this.receiveOutcome(id, status.outcome);
    else if (status.kind === "open") this.receiveUnfinished(id, askedAt);
    else if ((this.acceptedAt.get(id) ?? Infinity) < askedAt)
      host.reportViolation("went_back", `${id}: accepted, then unknown at ${host.now()}`);
  }

  /** All ancestors of a job, whether or not a controller knows them. */
  ancestors(id: string): Set<string> {
    const ancestors = new Set(this.sent.get(id)?.dependsOn ?? []);
    for (const at of ancestors)
      for (const parent of this.sent.get(at)?.dependsOn ?? []) ancestors.add(parent);
    return ancestors;
  }
  /** Whether an ancestor has been cancelled. */
  hasCancelledAncestor(id: string): boolean {
    return [...this.ancestors(id)].some((p) => this.host.commits.get(p)?.outcome === "cancelled");
  }

  /** Sends a request to the state service; `then` gets null without an answer, and isn't called if the process ended. */
  request<T extends object>(node: N, read: () => T | null, then: (answer: T | null) => void): void {
    const { host } = this;
    const { view } = node;
    host.after(host.delayMs(), () => {
      const answer = host.reachesState(node) && node.view === view ? read() : null;
      host.after(
        host.delayMs(),
        host.whenAwake(node, () => {
          if (node.alive && node.view === view) then(answer);
        }),
      );
    });
  }
  transact(
    node: N,
    conditionHolds: (late: boolean) => boolean,
    apply: () => void,
    then: (ok: boolean | null) => void,
  ): void {
    this.request(
      node,
      () => ({ ok: this.host.transact(node, conditionHolds, apply) }),
      (answer) => then(answer?.ok ?? null),
    );
  }

  /** Queries a job's status at this controller and submits the job to it once more. */
  queryAndResubmit(node: N, id: string): void {
    this.host.whenAwake(node, () => node.alive && this.queryStatus(node, id))();
    this.host.count("submissions repeated");
    this.sendTo(node, this.sent.get(id)!);
  }
  /** Queries a job that was never submitted at all controllers. */
  queryUnknownJob(id: string): void {
    for (const node of this.host.nodes)
      this.host.whenAwake(node, () => node.alive && this.queryStatus(node, id))();
  }

  /** Queries a job's status. */
  queryStatus(node: N, id: string): void {
    const askedAt = this.host.now();
    readStatus(this, node, id, (status) => this.receiveAnswer(id, status, askedAt));
  }
  commitCancellation(id: string, by: Version): void {
    this.host.commit(id, "cancelled");
    this.waiting.delete(id);
    this.deleteSet(id, by);
  }
  /** Deletes a job's set; the earlier version knows no sets and leaves it behind. */
  deleteSet(id: string, by: Version): void {
    if (by !== "old") this.fanins.delete(id);
    else if (this.fanins.has(id)) this.versions.leftoverSets.add(id);
  }
  /** Writes a job's released record, which may happen only once. */
  release(id: string, row: JobRow): void {
    const { host } = this;
    if (!this.versions.markReleased(id))
      host.reportViolation("ran_twice", `${id}: released twice, at ${host.now()}`);
    host.jobs.set(id, row);
  }

  /** Cancels a job through random controllers until there is a final answer. */
  cancel(id: string): void {
    if (this.finalAnswers.has(id)) return;
    this.cancelRequested.add(id);
    const node = this.randomNode();
    this.host.after(
      this.host.delayMs(),
      this.host.whenAwake(node, () => this.receivesRequests(node) && cancelAtNode(this, node, id, 0)),
    );
    this.host.after(ANSWER_TIMEOUT_MS, () => this.cancel(id));
  }

  /** Whether the record of a waiting job names this one as a parent. */
  hasChildren(id: string): boolean {
    return [...this.waiting.values()].some((row) => row.spec.dependsOn.includes(id));
  }
  /** Handles the answer to the leader's commit of a job; `ok` is null without an answer. */
  commitAnswered(node: N, id: string, ok: boolean | null): void {
    const { view } = node;
    if (ok === true) {
      this.committedBy.set(id, view);
      this.deleteSet(id, node.version);
      view.outcomes.set(id, "done");
    }
    if (ok === true || (ok === false && this.host.commits.has(id))) view.remove(id);
  }

  /** Reviews the waiting jobs as a leader. */
  review(node: N, leadership: object): void {
    reviewWaitingJobs(this, node, leadership);
  }
  stopReview(node: N): void {
    stopReviewing(node);
  }
}
