/** The cloud: machine types, rentals, releases and the machine list, within its request rate. */
import * as Data from "effect/Data";
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { RateLimiter } from "../core/rates/rate-limiter.js";
import { call, parseJson, makeKeepAliveAgent, type Reply } from "./call.js";
import { now } from "./clock.js";
import {
  parseMachineList,
  type ListedMachine,
  machineListPath,
  releaseBody,
  releasePath,
  rentBody,
  parseRentedMachines,
  rentPath,
  machineTypesPath,
  parseMachineTypes,
  type WireMachineType,
} from "./codec.js";

/** A request that failed. `sent`: the cloud may have carried it out, or may yet. */
export class CloudFailed extends Data.TaggedError("CloudFailed")<{
  readonly sent: boolean;
  readonly why: string;
}> {}

/** Every method waits until this node's share of the cloud's rate admits it. */
export class CloudClient {
  private readonly agent = makeKeepAliveAgent(6);
  private readonly rateLimiter: RateLimiter;

  /** `rps`: the rate of all nodes together; the leader makes nearly all calls. */
  constructor(
    private readonly addr: string,
    rps: number,
  ) {
    // the leader makes nearly all calls; a little is left for nodes that start
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
      Effect.mapError((failed) => new CloudFailed({ sent: failed.sent, why: failed.why })),
      Effect.tap((reply) =>
        Effect.sync(() => {
          if (reply.status === 429) this.rateLimiter.recordRefusal(now(), Duration.seconds(1));
        }),
      ),
    );
  }

  /** The machine types with their present prices. */
  listMachineTypes(): Effect.Effect<WireMachineType[], CloudFailed> {
    return Effect.flatMap(this.send("GET", machineTypesPath), (reply) => {
      const rows = reply.status === 200 ? parseMachineTypes(parseJson(reply)) : null;
      return rows === null
        ? Effect.fail(new CloudFailed({ sent: false, why: `status ${reply.status}` }))
        : Effect.succeed(rows);
    });
  }

  /**
   * Scale-out: the names of the machines rented, up to `count`; null: none to be had. Fails when it can't be told whether
   * it was carried out; repeating it under the same name is safe.
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
      const why = (body as { error?: string } | undefined)?.error ?? `status ${reply.status}`;
      if (reply.status === 400 || (reply.status === 503 && why === "no capacity"))
        return Effect.succeed(null);
      return Effect.fail(new CloudFailed({ sent: false, why }));
    });
  }

  /** Scale-in of 100 machines at most. Once it has succeeded they are gone, with all that ran on them. */
  releaseMachines(machines: readonly string[]): Effect.Effect<void, CloudFailed> {
    return Effect.flatMap(this.send("POST", releasePath, releaseBody(machines)), (reply) =>
      reply.status === 200
        ? Effect.void
        : Effect.fail(new CloudFailed({ sent: false, why: `status ${reply.status}` })),
    );
  }

  /** The whole machine list, as old as the cloud's lag. */
  listMachines(): Effect.Effect<ListedMachine[], CloudFailed> {
    const page = (from: string | null, rows: ListedMachine[]): Effect.Effect<ListedMachine[], CloudFailed> =>
      Effect.flatMap(this.send("GET", machineListPath(from)), (reply) => {
        const listed = reply.status === 200 ? parseMachineList(parseJson(reply)) : null;
        if (listed === null)
          return Effect.fail(new CloudFailed({ sent: false, why: `status ${reply.status}` }));
        rows.push(...listed.rows);
        const last = rows.at(-1);
        return listed.more && last !== undefined ? page(last.id, rows) : Effect.succeed(rows);
      });
    return page(null, []);
  }
}
