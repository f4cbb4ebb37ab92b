/**
 * Jobs that wait for others: their records in the state service, and the users who submit, ask and cancel through any
 * node, over a state service that answers late or not at all.
 */
import { reviewWaitingJobs, stopReviewing } from "./job-releases.js";
import {
  type Row,
  type Fanin,
  type Snapshot,
  type View,
  type Process,
  type Host,
  type JobStatus,
  PATIENCE_MS,
  ASK_EVERY_MS,
} from "./job-views.js";
import { readStatus } from "./job-status.js";
import { acceptSubmission, cancelAtNode } from "./submissions.js";
import { type JobSpec, type JobOutcome } from "../../src/core/records.js";
import { CloseLooks, UnansweredQuestions } from "./users-questions.js";
import { MixedVersions, type Version } from "./versions.js";

/** The waiting jobs of a simulated cluster, and the users who sent them. */
export class WaitingJobs<N extends Process> {
  /** The records of waiting jobs and their fan-in sets in the state service. */
  readonly waiting = new Map<string, Row>();
  readonly fanins = new Map<string, Fanin>();
  /** Which process committed a job and heard of it. */
  readonly committedBy = new Map<string, View>();
  /** Jobs that users have sent, those that they were told are accepted and when, and those that they called off. */
  readonly sent = new Map<string, JobSpec>();
  readonly accepted = new Map<string, number>();
  readonly cancelRequested = new Set<string>();
  /** The final answers, and when the first of them came. */
  readonly answers = new Map<string, { outcome: JobOutcome; at: number }>();
  nextAsk = 0;
  readonly closeLooks: CloseLooks<N>;
  readonly versions = new MixedVersions();
  readonly questions = new UnansweredQuestions();

  constructor(readonly host: Host<N>) {
    this.closeLooks = new CloseLooks<N>({
      nodes: host.nodes,
      draw: () => host.draw(),
      after: (ms, run) => host.after(ms, run),
      ask: (node, id) => host.on(node, () => node.alive && this.ask(node, id))(),
      repeatAt: (node, id) => this.sendTo(node, this.sent.get(id)!),
      cancel: (id) => this.cancel(id),
      count: (what) => host.count(what),
    });
  }

  /** What a process of this version lists. */
  snapshot(revision: number, version: Version): Snapshot {
    const { host, waiting, fanins } = this;
    if (version === "new")
      return { jobs: new Map(host.jobs), waiting: new Map(waiting), fanins: new Map(fanins), revision };
    const jobs = new Map(host.isWithoutGuard("listed") ? [...waiting, ...host.jobs] : host.jobs);
    return { jobs, waiting: new Map(), fanins: new Map(), revision };
  }

  /** Sent until an answer comes, through any node, as soon as those that it needs are accepted. */
  submit(spec: JobSpec): void {
    this.sent.set(spec.id, spec);
    this.send(spec);
  }
  send(spec: JobSpec): void {
    const { host } = this;
    if (this.accepted.has(spec.id)) return;
    if (!this.maySend(spec)) return host.after(100, () => this.send(spec));
    this.sendOnce(spec);
    host.after(PATIENCE_MS, () => this.send(spec));
  }
  maySend(spec: JobSpec): boolean {
    const isOpen = this.versions.pipelinesOpen || this.host.isWithoutGuard("early");
    return spec.dependsOn.every((p) => isOpen && (!this.sent.has(p) || this.accepted.has(p)));
  }
  sendOnce(spec: JobSpec): void {
    this.sendTo(this.anyNode(), spec);
  }
  sendTo(node: N, spec: JobSpec): void {
    this.host.after(
      this.host.delay(),
      this.host.on(node, () => {
        if (!this.isAsked(node)) return;
        if (node.view.isUnfinished(spec.id)) this.ask(node, spec.id);
        else acceptSubmission(this, node, spec, false, 0);
      }),
    );
  }
  /** A user sends the same once more, answered or not. */
  repeat(id: string): void {
    const spec = this.sent.get(id)!;
    if (!this.maySend(spec)) return this.host.after(100, () => this.repeat(id));
    this.host.count("submissions repeated");
    this.sendOnce(spec);
  }
  anyNode(): N {
    const nodes = this.versions.usersChoose(this.host.nodes);
    return nodes[Math.floor(this.host.draw() * nodes.length)]!;
  }

  question(node: N, id: string): void {
    const { host } = this;
    host.on(node, () => this.isAsked(node) && this.ask(node, id))();
    if (!this.versions.usersTryOthers) return;
    const next = host.nodes[(host.nodes.indexOf(node) + 1) % host.nodes.length]!;
    host.after(PATIENCE_MS, () => this.questions.isOpen(id) && this.question(next, id));
  }
  /** What was sent to a process that users avoid meanwhile doesn't reach it. */
  isAsked(node: N): boolean {
    return node.alive && this.versions.usersChoose([node]).length > 0;
  }

  /** Users ask about everything that they weren't told the end of, and now and then about what is over. */
  step(): void {
    const { host } = this;
    for (const id of this.accepted.keys())
      if (!this.isKept(id)) host.broke("forgotten", `${id}: no record of it, at ${host.now()}`);
    if (host.now() < this.nextAsk || this.sent.size === 0) return;
    this.nextAsk = host.now() + ASK_EVERY_MS;
    for (const id of this.accepted.keys()) {
      if (this.answers.has(id) && host.draw() > 0.1) continue;
      const node = this.anyNode();
      host.after(host.draw() * ASK_EVERY_MS, () => {
        this.questions.asked(id, host.now());
        this.question(node, id);
      });
    }
    for (const id of this.questions.forgotten(host.now(), host.calmSince()))
      host.broke("forgotten", `${id}: no question answered, at ${host.now()}`);
  }

  isAccepted(id: string): boolean {
    return this.accepted.has(id);
  }
  isKept(id: string): boolean {
    return this.host.commits.has(id) || this.host.jobs.has(id) || this.waiting.has(id);
  }
  /** Whether all that was sent is accepted, and nothing waits: what a way back has to wait for. */
  nothingWaits(): boolean {
    return this.waiting.size === 0 && [...this.sent.keys()].every((id) => this.accepted.has(id));
  }
  /** Jobs sent and not answered, that wait, or of which nothing or the set alone is left: none may be at the end. */
  unserved(): string[] {
    const { jobs, commits } = this.host;
    const open = [...this.sent.keys()].filter(
      (id) => !this.accepted.has(id) || !(commits.has(id) || jobs.has(id)),
    );
    const leftSets = [...this.fanins.keys()].filter((id) => commits.has(id));
    return [...open, ...this.waiting.keys(), ...leftSets];
  }

  /** A user was told that his job is over. */
  receiveOutcome(id: string, outcome: JobOutcome, byUser = false): void {
    const { host } = this;
    if (byUser) this.cancelRequested.add(id);
    const before = this.answers.get(id);
    if (before !== undefined && before.outcome !== outcome)
      host.broke("went_back", `${id}: ${before.outcome}, then ${outcome} at ${host.now()}`);
    if (before === undefined) {
      this.answers.set(id, { outcome, at: host.now() });
      if (this.sent.has(id)) this.closeLooks.answered(id, outcome);
    }
    if (outcome === "cancelled" && !this.cancelRequested.has(id) && !this.isDoomed(id))
      host.broke("went_back", `${id}: cancelled by nobody at ${host.now()}`);
    if (this.sent.has(id)) this.markAccepted(id);
  }
  receiveUnfinished(id: string, asked: number): void {
    const { host } = this;
    const before = this.answers.get(id);
    if (before !== undefined && before.at < asked)
      host.broke("went_back", `${id}: ${before.outcome}, then queued or running at ${host.now()}`);
    for (const ancestor of this.ancestors(id)) {
      const told = this.answers.get(ancestor);
      if (told?.outcome === "cancelled" && host.now() > told.at + host.cancelMs)
        host.broke("orphaned", `${id}, ${ancestor} was cancelled at ${told.at}, now ${host.now()}`);
    }
    this.markAccepted(id);
  }
  markAccepted(id: string): void {
    if (this.accepted.has(id)) return;
    this.accepted.set(id, this.host.now());
    if (!this.answers.has(id)) this.closeLooks.answered(id, "accepted");
  }
  receiveAnswer(id: string, standing: JobStatus | null, asked: number): void {
    const { host } = this;
    // nobody waits for it any more
    if (standing === null || host.now() > asked + PATIENCE_MS) return;
    if (standing.kind !== "absent" && !this.sent.has(id) && !host.commits.has(id) && !host.jobs.has(id))
      host.broke("invented", `${id}: nobody submitted it, at ${host.now()}`);
    this.questions.answeredNow(id, host.now());
    if (standing.kind === "final") this.receiveOutcome(id, standing.outcome);
    else if (standing.kind === "open") this.receiveUnfinished(id, asked);
    else if ((this.accepted.get(id) ?? Infinity) < asked)
      host.broke("went_back", `${id}: accepted, then unknown at ${host.now()}`);
  }

  /** All jobs before this one, whatever anybody knows of them. */
  ancestors(id: string): Set<string> {
    const out = new Set(this.sent.get(id)?.dependsOn ?? []);
    for (const at of out) for (const parent of this.sent.get(at)?.dependsOn ?? []) out.add(parent);
    return out;
  }
  /** Whether a job before it is cancelled. */
  isDoomed(id: string): boolean {
    return [...this.ancestors(id)].some((p) => this.host.commits.get(p)?.outcome === "cancelled");
  }

  /** `then` gets null if there was no answer; nothing comes of it if the process has ended. */
  request<T extends object>(node: N, at: () => T | null, then: (answer: T | null) => void): void {
    const { host } = this;
    const { view } = node;
    host.after(host.delay(), () => {
      const answer = host.reaches(node) && node.view === view ? at() : null;
      host.after(
        host.delay(),
        host.on(node, () => {
          if (node.alive && node.view === view) then(answer);
        }),
      );
    });
  }
  transact(
    node: N,
    attempts: (late: boolean) => boolean,
    apply: () => void,
    then: (ok: boolean | null) => void,
  ): void {
    this.request(
      node,
      () => ({ ok: this.host.transact(node, attempts, apply) }),
      (answer) => then(answer?.ok ?? null),
    );
  }

  /** A user asks this node about a job, and sends the job to it once more. */
  askAndRepeat(node: N, id: string): void {
    this.host.on(node, () => node.alive && this.ask(node, id))();
    this.host.count("submissions repeated");
    this.sendTo(node, this.sent.get(id)!);
  }
  /** Users ask all nodes about a job that nobody has sent. */
  askAboutNothing(id: string): void {
    for (const node of this.host.nodes) this.host.on(node, () => node.alive && this.ask(node, id))();
  }

  /** A user asks about a job. */
  ask(node: N, id: string): void {
    const asked = this.host.now();
    readStatus(this, node, id, (standing) => this.receiveAnswer(id, standing, asked));
  }
  cancelled(id: string, by: Version): void {
    this.host.commit(id, "cancelled");
    this.waiting.delete(id);
    this.deleteSet(id, by);
  }
  /** The earlier version knows no sets: it leaves them behind. */
  deleteSet(id: string, by: Version): void {
    if (by === "new") this.fanins.delete(id);
    else if (this.fanins.has(id)) this.versions.leftSets.add(id);
  }
  /** The job's record is written: once for ever. */
  release(id: string, row: Row): void {
    const { host } = this;
    if (!this.versions.released(id)) host.broke("ran_twice", `${id}: released twice, at ${host.now()}`);
    host.jobs.set(id, row);
  }

  /** A user calls a job off, through any node, until he is answered. */
  cancel(id: string): void {
    if (this.answers.has(id)) return;
    this.cancelRequested.add(id);
    const node = this.anyNode();
    this.host.after(
      this.host.delay(),
      this.host.on(node, () => this.isAsked(node) && cancelAtNode(this, node, id, 0)),
    );
    this.host.after(PATIENCE_MS, () => this.cancel(id));
  }

  /** Whether jobs wait for this one, by the records. */
  hasChildren(id: string): boolean {
    return [...this.waiting.values()].some((row) => row.spec.dependsOn.includes(id));
  }
  /** The leader's own commit: carried out, refused or unanswered. */
  committed(node: N, id: string, ok: boolean | null): void {
    const { view } = node;
    if (ok === true) {
      this.committedBy.set(id, view);
      this.deleteSet(id, node.version);
      view.finals.set(id, "done");
    }
    if (ok === true || (ok === false && this.host.commits.has(id))) view.remove(id);
  }

  /** A leader's round over the jobs that wait. */
  look(node: N, leadsAs: object): void {
    reviewWaitingJobs(this, node, leadsAs);
  }
  /** A process that doesn't lead looks after nothing. */
  stopLooking(node: N): void {
    stopReviewing(node);
  }
}
