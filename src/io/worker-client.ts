/** Orders sent straight to a worker. */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import type { Order, WorkerReport } from "../core/records.js";
import type { OrderOutcome } from "../core/scheduler.js";
import { call, json, makeAgent } from "./call.js";
import { ordersBody, ordersPath, parseReport } from "./codec.js";

const TIMEOUT = Duration.seconds(2);
/** A question without orders may be asked again, so it needn't wait long. */
const QUESTION_TIMEOUT = Duration.seconds(1);

export class WorkerClient {
  private readonly agent = makeAgent(2);

  orders(
    addr: string,
    token: number,
    session: number,
    orders: readonly Order[],
  ): Effect.Effect<{ outcome: OrderOutcome; report: WorkerReport | null }> {
    const body = ordersBody(token, session, orders);
    return call(this.agent, {
      addr,
      method: "POST",
      path: ordersPath,
      body,
      timeout: orders.length === 0 ? QUESTION_TIMEOUT : TIMEOUT,
    }).pipe(
      Effect.map((reply) => {
        const report = reply.status === 200 || reply.status === 409 ? parseReport(json(reply)) : null;
        if (reply.status === 200)
          return { outcome: (report === null ? "unknown" : "done") as OrderOutcome, report };
        return { outcome: "rejected" as const, report };
      }),
      Effect.catchAll((failed) =>
        Effect.succeed({ outcome: (failed.sent ? "unknown" : "unsent") as OrderOutcome, report: null }),
      ),
    );
  }
}
