/** The front: users, workers and health checks. */
import http from "node:http";
import * as Effect from "effect/Effect";
import { unschedulableReason } from "../../core/placement/admission.js";
import { type CommitRecord, type FaninRecord, keys, type Outcome, type Team } from "../../core/records.js";
import {
  heartbeatAnswer,
  type Change,
  type Condition,
  redirectAnswer,
  jobAnswer,
  jobRecord,
  parseHeartbeat,
  parseSubmission,
  paths,
  pollAnswer,
  releasedRecord,
  type UserState,
  type WireJob,
} from "../../io/codec.js";
import type { Log } from "../../io/log.js";
import { listen, readBody } from "../../io/server.js";
import { isOverTheRate, type StateClient } from "../../io/state-client.js";
import type { Leader } from "../leader/leader.js";
import type { Member } from "../members/member.js";
import type { JobCache } from "../job-cache.js";
import type { JobStatus, JobStatusReader } from "./job-status.js";
import { commitForUser } from "./user-writes.js";

interface Answer {
  readonly status: number;
  readonly body: string;
}
const answer = (status: number, body: string): Answer => ({ status, body });
const problem = (status: number, text: string): Answer => ({ status, body: JSON.stringify({ error: text }) });
const unsure = (text: string): Answer => problem(503, text);

const MAX_BODY = 64 * 1024;
/** Users' requests under way at once; more are told to come back. */
const MAX_OPEN = 400;
const RETRY_AFTER_S = 1;
/**
 * From this share of the connections on each answer ends its connection: workers of nodes that are down come here as
 * well, and one that finds no room is heard nowhere. They connect anew for each heartbeat, and take turns.
 */
const CROWDED = 0.9;
/** Parents may go on while their child is accepted: it is tried again with what was read anew. */
const ACCEPT_TRIES = 4;
const JOB_ID = /^req-[0-9]{1,18}$/;

/**
 * A job that another one is to wait for: over, or unfinished and not gone on from there as long as this holds; if it
 * waits itself, no longer than none of the jobs before it has a commit.
 */
type Parent =
  | { readonly state: Outcome }
  | { readonly state: "open"; readonly condition: Condition; readonly before: readonly string[] };

export interface ApiServerOptions {
  readonly bind: string;
  readonly connections: number;
  readonly teams: ReadonlyMap<string, Team>;
  readonly valueKb: number;
  /** How much one transaction compares. */
  readonly conditions: number;
}

export class ApiServer {
  private open = 0;
  /** Connections of users, workers and health checks. */
  connections = 0;

  constructor(
    private readonly options: ApiServerOptions,
    private readonly state: StateClient,
    private readonly jobCache: JobCache,
    private readonly status: JobStatusReader,
    private readonly member: Member,
    private readonly leader: Leader,
    private readonly log: Log,
  ) {}

  serve(): Effect.Effect<http.Server, Error> {
    const server = http.createServer((request, response) => {
      const url = request.url ?? "";
      if (url === paths.beat && request.method === "POST") this.handleHeartbeat(request, response);
      else if (url === paths.up) this.send(response, this.up());
      else if (url === paths.runs || url.startsWith(`${paths.runs}/`)) this.user(url, request, response);
      else this.send(response, problem(404, "no such path"));
    });
    server.on("connection", (socket) => {
      this.connections++;
      socket.once("close", () => this.connections--);
    });
    return listen(server, this.options.bind, this.options.connections);
  }

  private send(response: http.ServerResponse, answer: Answer): void {
    if (response.destroyed) return;
    const headers: http.OutgoingHttpHeaders = {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(answer.body),
    };
    if (answer.status === 503) {
      headers["retry-after"] = String(RETRY_AFTER_S);
      // a new connection may lead to a node that reaches the state service
      if (!this.member.reachesStateService()) headers["connection"] = "close";
    }
    if (this.connections > this.options.connections * CROWDED) headers["connection"] = "close";
    response.writeHead(answer.status, headers).end(answer.body);
  }

  /** Not ready while it alone can't reach the state service: other nodes then serve users better. */
  private up(): Answer {
    if (!this.jobCache.ready) return unsure("starting");
    if (this.leader.aloneWithoutState()) return unsure("no state service");
    return answer(200, '{"ok":true}');
  }

  private handleHeartbeat(request: http.IncomingMessage, response: http.ServerResponse): void {
    readBody(request, 8 * 1024 * 1024, (body) => {
      let heartbeat = null;
      try {
        heartbeat = body === null ? null : parseHeartbeat(JSON.parse(body.toString("utf8")));
      } catch {
        // answered below
      }
      if (heartbeat === null) return this.send(response, problem(400, "not a report"));
      const a = this.member.handleHeartbeat(heartbeat);
      if (a.kind === "taken")
        this.send(response, answer(200, heartbeatAnswer(a.fencingToken, a.stopCommands)));
      else if (a.kind === "elsewhere") this.send(response, answer(421, redirectAnswer(a.member)));
      else this.send(response, unsure("not entitled"));
    });
  }

  private user(url: string, request: http.IncomingMessage, response: http.ServerResponse): void {
    if (this.open >= MAX_OPEN) {
      request.resume();
      return this.send(response, unsure("busy"));
    }
    this.open++;
    response.once("close", () => this.open--);
    readBody(request, MAX_BODY, (body) => {
      const handled = this.route(url, request.method ?? "", body).pipe(
        Effect.catchAll((e) => Effect.succeed(unsure(typeof e === "string" ? e : e.why))),
        Effect.catchAllCause((cause) =>
          Effect.sync(() => {
            this.log.error({ cause: cause.toString() }, "request failed");
            return unsure("internal error");
          }),
        ),
      );
      Effect.runFork(Effect.map(handled, (answer) => this.send(response, answer)));
    });
  }

  private route(url: string, method: string, body: Buffer | null) {
    if (url === paths.runs) {
      if (method !== "POST") return Effect.succeed(problem(405, "POST a run here"));
      return body === null
        ? Effect.succeed(problem(400, "body over 64 KiB"))
        : this.submit(body.toString("utf8"));
    }
    const [id = "", verb, ...rest] = url.slice(paths.runs.length + 1).split("/");
    // an id of another form can't have been accepted, nor does it make a key
    if (!JOB_ID.test(id) || rest.length > 0) return Effect.succeed(problem(404, "no such run"));
    if (verb === undefined && method === "GET") return this.poll(id);
    if (verb === paths.cancel && method === "POST") return this.cancel(id);
    return Effect.succeed(
      problem(verb === undefined || verb === paths.cancel ? 405 : 404, "no such request"),
    );
  }

  private submit(body: string) {
    return Effect.gen(this, function* () {
      const parsed = parseSubmission(body);
      if (typeof parsed === "string") return problem(400, parsed);
      const { wire, spec } = parsed;
      if (this.jobCache.isUnfinished(spec.id)) return yield* this.repeated(spec.id);
      if (this.jobCache.types.length === 0) return unsure("machine types are not known yet");
      const bytes = Buffer.byteLength(JSON.stringify(jobRecord(wire, new Date())));
      // one that was accepted when values could be larger stays accepted
      if (bytes > this.options.valueKb * 1024)
        return yield* this.refused(spec.id, problem(400, "too large to be stored"));
      const why = unschedulableReason(spec, this.options.teams, this.jobCache.types);
      if (why !== null) return yield* this.refused(spec.id, problem(422, why));
      return yield* spec.dependsOn.length === 0 ? this.accept(wire) : this.acceptAfter(wire, spec.dependsOn);
    });
  }

  /** A repeat of an accepted job is never refused: it gets its first answer again, whatever it says now. */
  private refused(id: string, why: Answer) {
    return Effect.map(this.status.statusOf(id), (standing) =>
      standing.kind === "absent" ? why : this.standing(id, standing),
    );
  }

  /** The accepting write: a job without parents is released by it. */
  private accept(wire: WireJob) {
    return Effect.gen(this, function* () {
      const record = jobRecord(wire, new Date());
      const result = yield* commitForUser(this.state, this.isNew(wire.ref), [
        { put: keys.job(wire.ref), value: record },
      ]);
      // the state service refuses before it compares: this may be a repeat of an accepted job all the same
      if (result.ok === null)
        return yield* this.refused(wire.ref, problem(400, `can't be stored: ${result.error}`));
      if (result.ok === false) return yield* this.repeated(wire.ref);
      this.jobCache.put(keys.job(wire.ref), record, result.revision);
      this.accepted(wire);
      return answer(201, jobAnswer(wire.ref, "queued"));
    });
  }

  private isNew(id: string): Condition[] {
    return [keys.commit(id), keys.job(id), keys.blockedJob(id)].map((key) => ({ key, revision: 0 }));
  }

  private accepted(wire: WireJob): void {
    this.log.info(
      {
        job: wire.ref,
        class: wire.roster,
        team: wire.crew,
        tasks: wire.chores,
        estimateS: wire.expected_s,
        image: wire.bundle,
        imageGb: wire.image_gb,
        ...(wire.awaits == null ? {} : { awaits: wire.awaits.join(" ") }),
      },
      "accepted",
    );
  }

  /**
   * A job that waits for others. Its record and its fan-in set are written in one transaction that rests on its parents
   * as they were read; with more of them than a transaction compares, a commit that comes in between is found by whoever
   * looks after waiting jobs, as after any join that was lost. If all are done, the accepting write is the filling add.
   */
  private acceptAfter(wire: WireJob, awaits: readonly string[]) {
    return Effect.gen(this, function* () {
      const { ref: id } = wire;
      const record = jobRecord(wire, new Date());
      const full: FaninRecord = { joined: awaits, released: true };
      const limit = this.options.valueKb * 1024;
      const largest = [releasedRecord(record, new Date()), full].map((x) =>
        Buffer.byteLength(JSON.stringify(x)),
      );
      if (Math.max(...largest) > limit)
        return yield* this.refused(id, problem(400, "too large to be stored"));
      const stale = new Set<string>();
      for (let tries = 0; tries < ACCEPT_TRIES; tries++) {
        const parents = yield* Effect.forEach(awaits, (p) => this.parent(p, stale.has(p)), {
          concurrency: 4,
        });
        if (parents.includes(null))
          return yield* this.refused(id, problem(422, "awaits names a job that was never accepted"));
        const known = parents as Parent[];
        const joined = awaits.filter((_, i) => known[i]!.state === "done");
        const cancelled = known.some((parent) => parent.state === "cancelled");
        const open = known.flatMap((parent) => (parent.state === "open" ? [parent.condition] : []));
        // a cancel before a parent counts although it hasn't been passed on to the parent yet
        const before = new Set(known.flatMap((parent) => (parent.state === "open" ? parent.before : [])));
        const rest = [...open, ...[...before].map((key): Condition => ({ key, revision: 0 }))];
        const own = this.isNew(id);
        const when = [...own, ...rest.slice(0, Math.max(0, this.options.conditions - own.length))];
        const commit: CommitRecord = { outcome: "cancelled", tasks: wire.chores };
        const fanin: FaninRecord = { joined, released: false };
        const released = releasedRecord(record, new Date());
        const apply: Change[] = cancelled
          ? [{ put: keys.commit(id), value: commit }]
          : open.length === 0
            ? [{ put: keys.job(id), value: released }]
            : [
                { put: keys.blockedJob(id), value: record },
                { put: keys.fanin(id), value: fanin },
              ];
        const result = yield* commitForUser(this.state, when, apply);
        if (result.ok === null)
          return yield* this.refused(id, problem(400, `can't be stored: ${result.error}`));
        if (result.ok === true) {
          this.accepted(wire);
          if (cancelled) {
            this.status.remember(id, commit);
            this.jobCache.remove(id);
            return answer(201, jobAnswer(id, "cancelled"));
          }
          if (open.length === 0) this.jobCache.put(keys.job(id), released, result.revision);
          else {
            this.jobCache.putFanin(id, fanin, result.revision);
            this.jobCache.putWaiting(keys.blockedJob(id), record, result.revision);
          }
          return answer(201, jobAnswer(id, "queued"));
        }
        if (result.failed.some((key) => own.some((condition) => condition.key === key)))
          return yield* this.repeated(id);
        // some parent went on: what is known here is behind
        for (const p of awaits) stale.add(p);
      }
      return unsure("not decided");
    }).pipe(
      // a repeat of an accepted job gets its answer also when a parent's record can't be read
      Effect.catchAll((e) => {
        const why = unsure(typeof e === "string" ? e : e.why);
        // over the rate, the question for its standing would only keep the user from coming again
        return typeof e !== "string" && isOverTheRate(e) ? Effect.succeed(why) : this.refused(wire.ref, why);
      }),
    );
  }

  /** A job that another one is to wait for, as it is now; null: it was never accepted. */
  private parent(id: string, stale: boolean) {
    return Effect.gen(this, function* () {
      const open = (key: string, revision: number, before: readonly string[] = []): Parent => ({
        state: "open",
        condition: { key, revision },
        before,
      });
      const outcome = this.status.outcome(id);
      if (outcome !== undefined) return { state: outcome.outcome } as Parent;
      if (!stale) {
        const job = this.jobCache.jobs.get(id);
        if (job !== undefined) return open(keys.job(id), job.revision);
        const waiting = this.jobCache.waiting.get(id);
        const before = waiting === undefined ? null : this.status.commitsBefore(id);
        if (waiting !== undefined && before !== null)
          return open(keys.blockedJob(id), waiting.revision, before);
      }
      const standing = yield* this.status.read(id);
      if (standing.kind === "absent") return null;
      if (standing.kind === "final") return { state: standing.commit.outcome } as Parent;
      return standing.blocked
        ? open(keys.blockedJob(id), standing.revision, this.status.commitsBefore(id) ?? [])
        : open(keys.job(id), standing.revision);
    });
  }

  private repeated(id: string) {
    return Effect.map(this.status.statusOf(id), (standing) =>
      standing.kind === "absent" ? unsure("not decided") : this.standing(id, standing),
    );
  }

  private standing(id: string, standing: Exclude<JobStatus, { kind: "absent" }>): Answer {
    return answer(200, jobAnswer(id, this.stateOf(id, standing)));
  }

  private stateOf(id: string, standing: Exclude<JobStatus, { kind: "absent" }>): UserState {
    if (standing.kind === "final") return standing.commit.outcome;
    const { done, running } = this.leader.progressOf(id);
    return done > 0 || running > 0 ? "running" : "queued";
  }

  private poll(id: string) {
    return Effect.map(this.status.statusOf(id), (standing) => {
      if (standing.kind === "absent") return problem(404, "no such run");
      const state = this.stateOf(id, standing);
      if (standing.kind === "final") {
        const done = standing.commit.outcome === "done" ? standing.commit.tasks : 0;
        return answer(200, pollAnswer(id, state, done, 0));
      }
      const { done, running } = this.leader.progressOf(id);
      return answer(200, pollAnswer(id, state, done, running));
    });
  }

  /** An attempt to create the commit record as cancelled; the first commit wins for ever. */
  private cancel(id: string) {
    return Effect.gen(this, function* () {
      for (let tries = 0; tries < 3; tries++) {
        const standing = yield* this.status.read(id);
        if (standing.kind === "absent") return problem(404, "no such run");
        if (standing.kind === "final") return answer(200, jobAnswer(id, standing.commit.outcome));
        const commit: CommitRecord = { outcome: "cancelled", tasks: standing.tasks };
        const result = yield* commitForUser(
          this.state,
          [
            { key: keys.commit(id), revision: 0 },
            { key: standing.blocked ? keys.blockedJob(id) : keys.job(id), revision: standing.revision },
          ],
          [
            { put: keys.commit(id), value: commit },
            { delete: standing.blocked ? keys.blockedJob(id) : keys.job(id) },
            ...(standing.blocked || this.jobCache.fanins.has(id) ? [{ delete: keys.fanin(id) }] : []),
          ],
        );
        if (result.ok === true) {
          this.status.remember(id, commit);
          this.jobCache.remove(id);
          this.log.info({ job: id }, "cancelled");
          return answer(200, jobAnswer(id, "cancelled"));
        }
        if (result.ok === null) {
          this.log.warn({ job: id, error: result.error }, "a cancel was refused by the state service");
          break;
        }
      }
      return unsure("not decided");
    });
  }
}
