/**
 * The part of the model that is about jobs that wait for others: their records in the state service, what each process
 * knows of them, users who submit, ask and call off through any node, and the leader who looks after what waits. It
 * does what front, status, releases and mirror do, over a state service that answers late or not at all.
 */
import { faninStep, type ParentState, BlockedJobs } from "../src/core/jobs/fanin.js";
import type { JobSpec, Outcome } from "../src/core/records.js";
import { CloseLooks, UnansweredQuestions } from "./model/users-questions.js";
import { MixedVersions, type Version } from "./model/versions.js";

export interface Row {
  readonly spec: JobSpec;
  readonly stamp: number;
  readonly accepted: number;
  readonly released: number;
}

interface Fanin {
  readonly joined: readonly string[];
  readonly released: boolean;
  readonly stamp: number;
}

/** What the state service has of unfinished jobs at one moment. */
export interface Snapshot {
  readonly jobs: ReadonlyMap<string, Row>;
  readonly waiting: ReadonlyMap<string, Row>;
  readonly fanins: ReadonlyMap<string, Fanin>;
  readonly revision: number;
}

/** What one process knows, a moment behind the state service; a new process knows nothing. */
export class View {
  readonly jobs = new Map<string, Row>();
  readonly waiting = new Map<string, Row>();
  readonly fanins = new Map<string, Fanin>();
  readonly waiters = new BlockedJobs();
  /** Outcomes that were read: they never change. */
  readonly finals = new Map<string, Outcome>();
  private readonly over = new Set<string>();
  /** Waiting jobs to look at while it leads, whose leadership that is, and how many are looked at now. */
  readonly changed = new Set<string>();
  leadsAs: unknown = null;
  lookedAtAll: number | null = null;
  busy = 0;

  isUnfinished(id: string): boolean {
    return this.jobs.has(id) || this.waiting.has(id);
  }
  isOver(id: string): boolean {
    return this.over.has(id);
  }

  put(id: string, row: Row): void {
    if (this.jobs.has(id) || this.over.has(id)) return;
    this.jobs.set(id, row);
    this.dropWaiting(id);
  }
  putWaiting(id: string, row: Row): void {
    if (this.isUnfinished(id) || this.over.has(id)) return;
    this.waiting.set(id, row);
    this.waiters.add(id, row.spec.dependsOn);
    if (this.leadsAs !== null) this.changed.add(id);
  }
  putFanin(id: string, set: Fanin): void {
    if ((this.fanins.get(id)?.stamp ?? -1) < set.stamp) this.fanins.set(id, set);
  }
  private dropWaiting(id: string): void {
    if (this.waiting.delete(id)) this.waiters.remove(id);
  }
  remove(id: string): void {
    this.over.add(id);
    const waited = this.waiting.has(id);
    this.dropWaiting(id);
    if (!this.jobs.delete(id) && !waited) return;
    if (this.leadsAs !== null) for (const child of this.waiters.childrenOf(id)) this.changed.add(child);
  }

  /** What is not in a reading is over, unless it was written after that. */
  refresh({ jobs, waiting, fanins, revision }: Snapshot): void {
    for (const [id, set] of fanins) this.putFanin(id, set);
    for (const [id, row] of waiting) this.putWaiting(id, row);
    for (const [id, row] of jobs) this.put(id, row);
    for (const [id, row] of [...this.jobs]) if (!jobs.has(id) && row.stamp <= revision) this.remove(id);
    for (const [id, row] of [...this.waiting]) if (!waiting.has(id) && row.stamp <= revision) this.remove(id);
    for (const [id, set] of [...this.fanins])
      if (!fanins.has(id) && set.stamp <= revision) this.fanins.delete(id);
  }
}

/** A controller, as far as it matters here; another `view` is another process. */
export interface Process {
  readonly alive: boolean;
  readonly view: View;
  readonly version: Version;
}

/** What the model of the cluster does for this part. */
export interface Host<N extends Process> {
  readonly nodes: readonly N[];
  readonly jobs: Map<string, Row>;
  readonly commits: ReadonlyMap<string, { readonly outcome: Outcome }>;
  readonly cancelMs: number;
  now(): number;
  draw(): number;
  /** How long a message to the state service, or back, takes. */
  delay(): number;
  after(ms: number, run: () => void): void;
  /** Done when the process doesn't stand still. */
  on(node: N, run: () => void): () => void;
  reaches(node: N): boolean;
  transact(node: N, attempts: (late: boolean) => boolean, apply: () => void): boolean | null;
  nextStamp(): number;
  commit(id: string, outcome: Outcome): void;
  count(what: string): void;
  broke(rule: string, text: string): void;
  /** Since when there are no more troubles. */
  calmSince(): number | null;
  without(
    guard:
      | "checked"
      | "release"
      | "ancestors"
      | "unheard"
      | "overtaken"
      | "before"
      | "join"
      | "filling"
      | "listed"
      | "useless"
      | "early",
  ): boolean;
}

type Standing =
  | { readonly kind: "final"; readonly outcome: Outcome }
  | { readonly kind: "open"; readonly stamp: number; readonly waiting: boolean }
  | { readonly kind: "absent" };

/** How many records one transaction compares: wide fans have more parents. */
const CONDITIONS = 10;
const OWN_CONDITIONS = 3;
const ACCEPT_TRIES = 4;
const CANCEL_TRIES = 3;
const LOOK_AT_ALL_MS = 5000;
/** Users wait so long for an answer, and then ask again. */
const PATIENCE_MS = 2000;
const ASK_EVERY_MS = 1000;

export class WaitingJobs<N extends Process> {
  /** The records of waiting jobs and their fan-in sets in the state service. */
  readonly waiting = new Map<string, Row>();
  readonly fanins = new Map<string, Fanin>();
  /** Which process committed a job and heard of it. */
  private readonly committedBy = new Map<string, View>();
  /** Jobs that users have sent, those that they were told are accepted and when, and those that they called off. */
  private readonly sent = new Map<string, JobSpec>();
  private readonly accepted = new Map<string, number>();
  private readonly calledOff = new Set<string>();
  /** The final answers, and when the first of them came. */
  private readonly answers = new Map<string, { outcome: Outcome; at: number }>();
  private nextAsk = 0;
  readonly closeLooks: CloseLooks<N>;
  readonly versions = new MixedVersions();
  private readonly questions = new UnansweredQuestions();

  constructor(private readonly host: Host<N>) {
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
    const jobs = new Map(host.without("listed") ? [...waiting, ...host.jobs] : host.jobs);
    return { jobs, waiting: new Map(), fanins: new Map(), revision };
  }

  // --- users --------------------------------------------------------------------------------------------

  /** Sent until an answer comes, through any node, as soon as those that it needs are accepted. */
  submit(spec: JobSpec): void {
    this.sent.set(spec.id, spec);
    this.send(spec);
  }
  private send(spec: JobSpec): void {
    const { host } = this;
    if (this.accepted.has(spec.id)) return;
    if (!this.maySend(spec)) return host.after(100, () => this.send(spec));
    this.sendOnce(spec);
    host.after(PATIENCE_MS, () => this.send(spec));
  }
  private maySend(spec: JobSpec): boolean {
    const isOpen = this.versions.pipelinesOpen || this.host.without("early");
    return spec.dependsOn.every((p) => isOpen && (!this.sent.has(p) || this.accepted.has(p)));
  }
  private sendOnce(spec: JobSpec): void {
    this.sendTo(this.anyNode(), spec);
  }
  private sendTo(node: N, spec: JobSpec): void {
    this.host.after(
      this.host.delay(),
      this.host.on(node, () => {
        if (!this.isAsked(node)) return;
        if (node.view.isUnfinished(spec.id)) this.ask(node, spec.id);
        else this.accept(node, spec, false, 0);
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
  private anyNode(): N {
    const nodes = this.versions.usersChoose(this.host.nodes);
    return nodes[Math.floor(this.host.draw() * nodes.length)]!;
  }

  private question(node: N, id: string): void {
    const { host } = this;
    host.on(node, () => this.isAsked(node) && this.ask(node, id))();
    if (!this.versions.usersTryOthers) return;
    const next = host.nodes[(host.nodes.indexOf(node) + 1) % host.nodes.length]!;
    host.after(PATIENCE_MS, () => this.questions.isOpen(id) && this.question(next, id));
  }
  /** What was sent to a process that users avoid meanwhile doesn't reach it. */
  private isAsked(node: N): boolean {
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
  private isKept(id: string): boolean {
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
  toldOver(id: string, outcome: Outcome, byUser = false): void {
    const { host } = this;
    if (byUser) this.calledOff.add(id);
    const before = this.answers.get(id);
    if (before !== undefined && before.outcome !== outcome)
      host.broke("went_back", `${id}: ${before.outcome}, then ${outcome} at ${host.now()}`);
    if (before === undefined) {
      this.answers.set(id, { outcome, at: host.now() });
      if (this.sent.has(id)) this.closeLooks.told(id, outcome);
    }
    if (outcome === "cancelled" && !this.calledOff.has(id) && !this.isDoomed(id))
      host.broke("went_back", `${id}: cancelled by nobody at ${host.now()}`);
    if (this.sent.has(id)) this.isKnown(id);
  }
  private toldOpen(id: string, asked: number): void {
    const { host } = this;
    const before = this.answers.get(id);
    if (before !== undefined && before.at < asked)
      host.broke("went_back", `${id}: ${before.outcome}, then queued or running at ${host.now()}`);
    for (const ancestor of this.ancestors(id)) {
      const told = this.answers.get(ancestor);
      if (told?.outcome === "cancelled" && host.now() > told.at + host.cancelMs)
        host.broke("orphaned", `${id}, ${ancestor} was cancelled at ${told.at}, now ${host.now()}`);
    }
    this.isKnown(id);
  }
  private isKnown(id: string): void {
    if (this.accepted.has(id)) return;
    this.accepted.set(id, this.host.now());
    if (!this.answers.has(id)) this.closeLooks.told(id, "accepted");
  }
  private told(id: string, standing: Standing | null, asked: number): void {
    const { host } = this;
    // nobody waits for it any more
    if (standing === null || host.now() > asked + PATIENCE_MS) return;
    if (standing.kind !== "absent" && !this.sent.has(id) && !host.commits.has(id) && !host.jobs.has(id))
      host.broke("invented", `${id}: nobody submitted it, at ${host.now()}`);
    this.questions.answeredNow(id, host.now());
    if (standing.kind === "final") this.toldOver(id, standing.outcome);
    else if (standing.kind === "open") this.toldOpen(id, asked);
    else if ((this.accepted.get(id) ?? Infinity) < asked)
      host.broke("went_back", `${id}: accepted, then unknown at ${host.now()}`);
  }

  /** All jobs before this one, whatever anybody knows of them. */
  private ancestors(id: string): Set<string> {
    const out = new Set(this.sent.get(id)?.dependsOn ?? []);
    for (const at of out) for (const parent of this.sent.get(at)?.dependsOn ?? []) out.add(parent);
    return out;
  }
  /** Whether a job before it is cancelled. */
  private isDoomed(id: string): boolean {
    return [...this.ancestors(id)].some((p) => this.host.commits.get(p)?.outcome === "cancelled");
  }

  // --- requests to the state service --------------------------------------------------------------------

  /** `then` gets null if there was no answer; nothing comes of it if the process has ended. */
  private request<T extends object>(node: N, at: () => T | null, then: (answer: T | null) => void): void {
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
  private transact(
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

  // --- answers (status) ---------------------------------------------------------------------------------

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
  private ask(node: N, id: string): void {
    const asked = this.host.now();
    this.standing(node, id, (standing) => this.told(id, standing, asked));
  }

  private ancestorsSeen(view: View, id: string): string[] {
    if (this.host.without("ancestors") || !view.waiting.has(id)) return [];
    return view.waiters.ancestorsOf(id, (p) => view.finals.get(p) === "done");
  }

  /** Rests on the commits, checked in the state service, of the job and all unfinished ones before it. */
  private standing(node: N, id: string, then: (standing: Standing | null) => void): void {
    const { host } = this;
    const { view } = node;
    const outcome = view.finals.get(id);
    if (outcome !== undefined) return then({ kind: "final", outcome });
    const known = view.isUnfinished(id);
    const ids = [id, ...this.ancestorsSeen(view, id)];
    this.request(
      node,
      () => ({
        exists:
          (!host.without("checked") && ids.some((x) => host.commits.has(x))) ||
          (!known && (host.jobs.has(id) || (node.version === "new" && this.waiting.has(id)))),
      }),
      (answer) => {
        if (answer === null) return then(null);
        if (answer.exists) return this.read(node, id, then);
        if (!known) return then({ kind: "absent" });
        const job = view.jobs.get(id);
        const row = job ?? view.waiting.get(id);
        // it ended in the meantime, or more was heard of what it waits for
        if (row === undefined) return this.read(node, id, then);
        const isNews = (p: string): boolean =>
          !ids.includes(p) || (!view.isUnfinished(p) && !host.without("unheard"));
        if (job === undefined && this.ancestorsSeen(view, id).some(isNews)) return this.read(node, id, then);
        then({ kind: "open", stamp: row.stamp, waiting: job === undefined });
      },
    );
  }

  private read(node: N, id: string, then: (standing: Standing | null) => void): void {
    const { host } = this;
    const { view } = node;
    const known = view.finals.get(id);
    if (known !== undefined) return then({ kind: "final", outcome: known });
    const get = <T>(row: () => T | undefined, next: (row: T | undefined) => void): void =>
      this.request(
        node,
        () => ({ row: row() }),
        (answer) => (answer === null ? then(null) : next(answer.row)),
      );
    const commit = (next: () => void): void =>
      get(
        () => host.commits.get(id),
        (row) => {
          if (row === undefined) return next();
          view.finals.set(id, row.outcome);
          then({ kind: "final", outcome: row.outcome });
        },
      );
    const job = (): void =>
      get(
        () => host.jobs.get(id),
        (row) => {
          if (row === undefined || view.isOver(id)) return commit(() => then({ kind: "absent" }));
          view.put(id, row);
          then({ kind: "open", stamp: row.stamp, waiting: false });
        },
      );
    // the commit first, then what a job is in the course of its life, one request after the other
    commit(() =>
      get(
        () => (node.version === "new" ? this.waiting.get(id) : undefined),
        (row) => {
          if (row === undefined || view.isOver(id)) return job();
          view.putWaiting(id, row);
          this.readWaiting(node, id, row.stamp, new Map(), then);
        },
      ),
    );
  }

  /** A waiting job is what its record says, unless one before it was cancelled. */
  private readWaiting(
    node: N,
    id: string,
    stamp: number,
    asked: Map<string, boolean>,
    then: (standing: Standing | null) => void,
  ): void {
    const { host } = this;
    const { view } = node;
    // released or over in the meantime: what comes before it is not known here any more
    if (!view.waiting.has(id)) return this.read(node, id, then);
    const isNews = (p: string): boolean => !host.without("overtaken") && view.isOver(p) !== asked.get(p);
    const parent = this.ancestorsSeen(view, id).find((p) => !asked.has(p) || isNews(p));
    if (parent === undefined) return then({ kind: "open", stamp, waiting: true });
    asked.set(parent, view.isOver(parent));
    this.request(
      node,
      () => ({ commit: host.commits.get(parent) }),
      (row) => {
        if (row === null) return then(null);
        if (row.commit !== undefined) view.finals.set(parent, row.commit.outcome);
        if (row.commit?.outcome === "cancelled")
          return this.cancelWaiting(node, id, (ok) =>
            then(ok ? { kind: "final", outcome: "cancelled" } : null),
          );
        const goOn = (): void => this.readWaiting(node, id, stamp, asked, then);
        if (row.commit !== undefined || view.isUnfinished(parent) || host.without("unheard")) return goOn();
        // not heard of here yet: what it waits for itself counts as well
        this.request(
          node,
          () => ({
            waits: this.waiting.get(parent),
            job: host.jobs.get(parent),
            commit: host.commits.get(parent),
          }),
          (found) => {
            if (found === null) return then(null);
            if (found.waits !== undefined) view.putWaiting(parent, found.waits);
            else if (found.job !== undefined) view.put(parent, found.job);
            // it ended in between
            else if (found.commit !== undefined) asked.delete(parent);
            goOn();
          },
        );
      },
    );
  }

  /** A parent's outcome passes on; false: no answer. */
  private cancelWaiting(node: N, id: string, then: (ok: boolean) => void): void {
    const { host } = this;
    const { view } = node;
    this.transact(
      node,
      () => !host.commits.has(id),
      () => {
        if (!this.isDoomed(id)) host.broke("went_back", `${id}: cancelled with nothing at ${host.now()}`);
        host.count("cancels passed on");
        this.cancelled(id, "new");
      },
      (ok) => {
        if (ok === null) return then(false);
        view.finals.set(id, "cancelled");
        view.remove(id);
        then(true);
      },
    );
  }
  private cancelled(id: string, by: Version): void {
    this.host.commit(id, "cancelled");
    this.waiting.delete(id);
    this.deleteSet(id, by);
  }
  /** The earlier version knows no sets: it leaves them behind. */
  private deleteSet(id: string, by: Version): void {
    if (by === "new") this.fanins.delete(id);
    else if (this.fanins.has(id)) this.versions.leftSets.add(id);
  }
  /** The job's record is written: once for ever. */
  private release(id: string, row: Row): void {
    const { host } = this;
    if (!this.versions.released(id)) host.broke("ran_twice", `${id}: released twice, at ${host.now()}`);
    host.jobs.set(id, row);
  }

  // --- submissions and cancellations (front) ------------------------------------------------------------

  /** Its record and set, or the released job, or its end: written if its parents are still what they were. */
  private accept(node: N, spec: JobSpec, stale: boolean, tries: number): void {
    const { host } = this;
    if (tries >= ACCEPT_TRIES) return;
    const asked = host.now();
    const { version } = node;
    const awaits = version === "new" ? spec.dependsOn : [];
    this.parents(node, awaits, stale, (parents) => {
      if (parents === null) return this.ask(node, spec.id);
      if (parents.some((p) => p.kind === "absent"))
        return host.broke("went_back", `${spec.id}: awaits an accepted job, refused at ${host.now()}`);
      const isDone = (p: Standing): boolean => p.kind === "final" && p.outcome === "done";
      const joined = awaits.filter((_, i) => isDone(parents[i]!));
      const doomed = parents.some((p) => p.kind === "final" && p.outcome === "cancelled");
      const open = awaits.flatMap((id, i) => {
        const p = parents[i]!;
        return p.kind === "open" ? [{ id, stamp: p.stamp, waiting: p.waiting }] : [];
      });
      const conditions = open.slice(0, CONDITIONS - OWN_CONDITIONS);
      const { view } = node;
      // a cancel before a parent counts although it hasn't been passed on to the parent yet
      const before = new Set(open.flatMap((p) => (p.waiting ? this.ancestorsSeen(view, p.id) : [])));
      const commits = [...before].slice(0, CONDITIONS - OWN_CONDITIONS - conditions.length);
      let isNew = true;
      const row = { spec, stamp: 0, accepted: asked, released: host.now() };
      const unchanged = (): boolean =>
        conditions.every((c) => (c.waiting ? this.waiting : host.jobs).get(c.id)?.stamp === c.stamp) &&
        (host.without("before") || !commits.some((p) => host.commits.has(p)));
      this.transact(
        node,
        () => {
          const isWaiting = version === "new" && this.waiting.has(spec.id);
          isNew = !host.commits.has(spec.id) && !host.jobs.has(spec.id) && !isWaiting;
          if (isNew && !unchanged()) host.count("children refused as a parent went on");
          return isNew && unchanged();
        },
        () => {
          const stamp = host.nextStamp();
          row.stamp = stamp;
          if (doomed) return host.commit(spec.id, "cancelled");
          if (open.length === 0) return this.release(spec.id, row);
          if (open.some((p) => host.commits.has(p.id)))
            host.count("children accepted while a parent committed");
          this.waiting.set(spec.id, row);
          this.fanins.set(spec.id, { joined, released: false, stamp });
        },
        (ok) => {
          // without an answer it may have been accepted all the same
          if (ok === null || !isNew) return this.ask(node, spec.id);
          if (!ok) return this.accept(node, spec, true, tries + 1);
          if (doomed) {
            host.count("children of cancelled jobs accepted");
            view.finals.set(spec.id, "cancelled");
            view.remove(spec.id);
            return this.told(spec.id, { kind: "final", outcome: "cancelled" }, asked);
          }
          if (open.length === 0) view.put(spec.id, row);
          else {
            view.putFanin(spec.id, { joined, released: false, stamp: row.stamp });
            view.putWaiting(spec.id, row);
          }
          host.count(open.length === 0 ? "children of finished jobs accepted" : "waiting jobs accepted");
          this.told(spec.id, { kind: "open", stamp: row.stamp, waiting: open.length > 0 }, asked);
        },
      );
    });
  }

  private parents(
    node: N,
    awaits: readonly string[],
    stale: boolean,
    then: (parents: Standing[] | null) => void,
  ): void {
    if (awaits.length === 0) return then([]);
    const { view } = node;
    const found = new Map<string, Standing | null>();
    const set = (id: string, standing: Standing | null): void => {
      found.set(id, standing);
      if (found.size < awaits.length) return;
      const all = awaits.map((p) => found.get(p) ?? null);
      then(all.includes(null) ? null : (all as Standing[]));
    };
    for (const id of awaits) {
      const outcome = view.finals.get(id);
      const isHeardOf = this.ancestorsSeen(view, id).every((p) => view.isUnfinished(p));
      const row = stale || !isHeardOf ? undefined : (view.jobs.get(id) ?? view.waiting.get(id));
      if (outcome !== undefined) set(id, { kind: "final", outcome });
      else if (row !== undefined) set(id, { kind: "open", stamp: row.stamp, waiting: !view.jobs.has(id) });
      else this.read(node, id, (standing) => set(id, standing));
    }
  }

  /** A user calls a job off, through any node, until he is answered. */
  cancel(id: string): void {
    if (this.answers.has(id)) return;
    this.calledOff.add(id);
    const node = this.anyNode();
    this.host.after(
      this.host.delay(),
      this.host.on(node, () => this.isAsked(node) && this.cancelAt(node, id, 0)),
    );
    this.host.after(PATIENCE_MS, () => this.cancel(id));
  }
  private cancelAt(node: N, id: string, tries: number): void {
    const { host } = this;
    if (tries >= CANCEL_TRIES) return;
    const asked = host.now();
    this.read(node, id, (standing) => {
      if (standing?.kind === "final" && standing.outcome === "done")
        host.count("cancels that met the job's end");
      if (standing?.kind !== "open") return this.told(id, standing, asked);
      const { stamp, waiting } = standing;
      const { version } = node;
      this.transact(
        node,
        () => !host.commits.has(id) && (waiting ? this.waiting : host.jobs).get(id)?.stamp === stamp,
        () => {
          host.count(waiting ? "waiting jobs called off" : "released jobs called off");
          this.cancelled(id, version);
        },
        (ok) => {
          if (ok === false) {
            host.count(waiting ? "cancels that met the parent's end" : "cancels that met the job's end");
            return this.cancelAt(node, id, tries + 1);
          }
          if (ok !== true) return;
          node.view.finals.set(id, "cancelled");
          node.view.remove(id);
          this.toldOver(id, "cancelled");
        },
      );
    });
  }

  // --- releases -----------------------------------------------------------------------------------------

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

  /** One round of a leader: all that waits after a take-over and every few seconds, else what changed. */
  look(node: N, leadsAs: object): void {
    const { host } = this;
    const { view } = node;
    if (node.version === "old") return this.stopLooking(node);
    if (view.leadsAs !== leadsAs) {
      view.leadsAs = leadsAs;
      view.changed.clear();
      view.lookedAtAll = null;
    }
    if (view.busy > 0) return;
    let all = false;
    if (view.lookedAtAll === null || host.now() - view.lookedAtAll >= LOOK_AT_ALL_MS) {
      all = true;
      view.lookedAtAll = host.now();
      this.sweep(node);
      if (!host.without("join")) for (const id of view.waiting.keys()) view.changed.add(id);
    }
    const some = [...view.changed];
    view.changed.clear();
    for (const id of some) this.settle(node, id, all);
  }
  /** Sets of jobs that are over: an earlier version left them, or whoever committed the job didn't know of them. */
  private sweep(node: N): void {
    const { host, versions } = this;
    if (!host.reaches(node) || host.without("useless")) return;
    for (const id of node.view.fanins.keys()) {
      if (node.view.isUnfinished(id) || !this.fanins.delete(id)) continue;
      if (versions.leftSets.delete(id)) host.count("sets of the earlier version deleted");
    }
  }
  stopLooking(node: N): void {
    node.view.leadsAs = null;
    node.view.changed.clear();
  }

  private settle(node: N, id: string, all: boolean): void {
    const { view } = node;
    const job = view.waiting.get(id);
    if (job === undefined) return;
    view.busy++;
    const end = (): void => void view.busy--;
    const { dependsOn } = job.spec;
    const unknown = dependsOn.filter((p) => !view.isUnfinished(p) && !view.finals.has(p));
    this.readOutcomes(node, unknown, (ok) => {
      if (!ok) return end();
      const stateOf = (p: string): ParentState =>
        view.isUnfinished(p) ? "open" : (view.finals.get(p) ?? "unknown");
      const states = new Map(dependsOn.map((p) => [p, stateOf(p)]));
      const step = (set: Fanin | null): void => {
        const next = faninStep(dependsOn, set?.joined ?? [], (p) => states.get(p)!);
        if (next.kind === "wait") return end();
        if (next.kind === "cancel") return this.cancelWaiting(node, id, end);
        if (set === null || set.released) return end();
        this.join(node, job, set, { joined: next.joined, released: next.fills }, all, end);
      };
      const set = view.fanins.get(id);
      if (set !== undefined) step(set);
      else this.readSet(node, id, step);
    });
  }
  private readOutcomes(node: N, ids: readonly string[], then: (ok: boolean) => void): void {
    const { host } = this;
    const [id, ...rest] = ids;
    if (id === undefined) return then(true);
    this.request(
      node,
      () => ({ commit: host.commits.get(id) }),
      (row) => {
        if (row === null) return then(false);
        if (row.commit !== undefined) node.view.finals.set(id, row.commit.outcome);
        this.readOutcomes(node, rest, then);
      },
    );
  }
  private readSet(node: N, id: string, then: (set: Fanin | null) => void): void {
    this.request(
      node,
      () => ({ set: this.fanins.get(id) }),
      (row) => {
        if (row?.set !== undefined) node.view.putFanin(id, row.set);
        then(node.view.fanins.get(id) ?? null);
      },
    );
  }

  /** The add, and with the filling one the release, in one conditional write. */
  private join(
    node: N,
    job: Row,
    set: Fanin,
    next: { joined: readonly string[]; released: boolean },
    all: boolean,
    end: () => void,
  ): void {
    const { host } = this;
    const { view } = node;
    const { id } = job.spec;
    let stamp = 0;
    const row = { ...job, released: host.now() };
    const isLost = next.joined.some(
      (p) => !set.joined.includes(p) && this.committedBy.get(p) !== view && host.commits.has(p),
    );
    // somebody else's add came first
    let isOther = false;
    const attempts = (): boolean =>
      this.fanins.get(id)?.stamp === set.stamp &&
      this.waiting.get(id)?.stamp === job.stamp &&
      !host.commits.has(id);
    this.transact(
      node,
      (late) => {
        if (host.without("filling") || attempts()) return true;
        if (late) host.count("late joins refused");
        isOther = this.fanins.get(id)?.stamp !== set.stamp;
        return false;
      },
      () => {
        stamp = host.nextStamp();
        host.count("joins");
        if (all && isLost) host.count("lost joins found again");
        this.fanins.set(id, { ...next, stamp });
        if (!next.released) return;
        host.count("releases");
        if (host.commits.has(id)) host.broke("went_back", `${id}: over, then released at ${host.now()}`);
        this.release(id, { ...row, stamp });
        this.waiting.delete(id);
      },
      (ok) => {
        if (ok === true) {
          view.putFanin(id, { ...next, stamp });
          if (next.released) view.put(id, { ...row, stamp });
          return end();
        }
        if (ok === null) return end();
        host.count("joins refused");
        if (isOther) this.readSet(node, id, end);
        else end();
      },
    );
  }
}
