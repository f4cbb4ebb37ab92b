/** Client of the cloud's API, which keeps to its rate limit. */
import * as Data from "effect/Data";
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { RateLimiter } from "../core/rates/rate-limiter.js";
import { call, makeKeepAliveAgent, parseJson, type Reply } from "./call.js";
import { now } from "./clock.js";
import {
  type ListedMachine,
  machineListPath,
  machineTypesPath,
  parseMachineList,
  parseMachineTypes,
  parseRentedMachines,
  releaseBody,
  releasePath,
  rentBody,
  rentPath,
  type WireMachineType,
} from "./codec.js";

/** A failed request. `sent`: the cloud may have executed it, or may do so yet. */
export class CloudFailed extends Data.TaggedError("CloudFailed")<{
  readonly sent: boolean;
  readonly reason: string;
}> {}

/** Every method waits until the rate limiter admits its request. */
export class CloudClient {
  private readonly agent = makeKeepAliveAgent(6);
  private readonly rateLimiter: RateLimiter;

  /** `rps`: the rate limit of all nodes together. */
  constructor(
    private readonly addr: string,
    rps: number,
  ) {
    // the leader sends nearly all requests; the rest of the rate is for nodes that start up
    this.rateLimiter = new RateLimiter(rps * 0.8, Math.max(1, rps));
  }

  private send(method: "GET" | "POST", path: string, body?: string): Effect.Effect<Reply, CloudFailed> {
    const admit: Effect.Effect<void> = Effect.suspend(() => {
      const wait = this.rateLimiter.take(now());
      return Duration.toMillis(wait) === 0 ? Effect.void : Effect.zipRight(Effect.sleep(wait), admit);
    });
    return Effect.zipRight(
      admit,
      call(this.agent, {
        addr: this.addr,
        method,
        path,
        timeout: Duration.seconds(4),
        ...(body === undefined ? {} : { body }),
      }),
    ).pipe(
      Effect.mapError((failed) => new CloudFailed({ sent: failed.sent, reason: failed.reason })),
      Effect.tap((reply) =>
        Effect.sync(() => {
          if (reply.status === 429) this.rateLimiter.recordRefusal(now(), Duration.seconds(1));
        }),
      ),
    );
  }

  /** All machine types with their current prices. */
  listMachineTypes(): Effect.Effect<WireMachineType[], CloudFailed> {
    return Effect.flatMap(this.send("GET", machineTypesPath), (reply) => {
      const rows = reply.status === 200 ? parseMachineTypes(parseJson(reply)) : null;
      return rows === null
        ? Effect.fail(new CloudFailed({ sent: false, reason: `status ${reply.status}` }))
        : Effect.succeed(rows);
    });
  }

  /**
   * Scale-out: returns the ids of the rented machines, at most `count`; null if none are available. It is safe to repeat a
   * failed request under the same name, even if the failed one was executed.
   */
  rentMachines(
    name: string,
    type: string,
    zone: string,
    spot: boolean,
    count: number,
  ): Effect.Effect<string[] | null, CloudFailed> {
    return Effect.flatMap(this.send("POST", rentPath, rentBody(name, type, zone, spot, count)), (reply) => {
      const body = parseJson(reply);
      if (reply.status === 200) return Effect.succeed(parseRentedMachines(body));
      const reason = (body as { error?: string } | undefined)?.error ?? `status ${reply.status}`;
      if (reply.status === 400 || (reply.status === 503 && reason === "no capacity"))
        return Effect.succeed(null);
      return Effect.fail(new CloudFailed({ sent: false, reason }));
    });
  }

  /** Scale-in of at most 100 machines. Once it succeeds they are gone, with all tasks that ran on them. */
  releaseMachines(machines: readonly string[]): Effect.Effect<void, CloudFailed> {
    return Effect.flatMap(this.send("POST", releasePath, releaseBody(machines)), (reply) =>
      reply.status === 200
        ? Effect.void
        : Effect.fail(new CloudFailed({ sent: false, reason: `status ${reply.status}` })),
    );
  }

  /** The complete machine list, which may be outdated by the cloud's lag. */
  listMachines(): Effect.Effect<ListedMachine[], CloudFailed> {
    const page = (from: string | null, rows: ListedMachine[]): Effect.Effect<ListedMachine[], CloudFailed> =>
      Effect.flatMap(this.send("GET", machineListPath(from)), (reply) => {
        const listed = reply.status === 200 ? parseMachineList(parseJson(reply)) : null;
        if (listed === null)
          return Effect.fail(new CloudFailed({ sent: false, reason: `status ${reply.status}` }));
        rows.push(...listed.rows);
        const last = rows.at(-1);
        return listed.more && last !== undefined ? page(last.id, rows) : Effect.succeed(rows);
      });
    return page(null, []);
  }
}
