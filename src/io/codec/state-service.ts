/** The state service: a key-value store with leases, watches and compare-and-swap. */
import * as Duration from "effect/Duration";

/** A key of the state service, its value, and the revision of its last change. */
export interface Row {
  readonly key: string;
  readonly value: unknown;
  readonly revision: number;
}
/** Part of a compare-and-swap: the key still has this revision. 0: it doesn't exist. */
export interface Condition {
  readonly key: string;
  readonly revision: number;
}
/** Part of a transaction. A `put` without `leaseId` detaches its key from any lease. */
export type Change =
  { readonly put: string; readonly value: unknown; readonly leaseId?: number } | { readonly delete: string };
/** A change that a watch tells of. */
export interface WatchEvent {
  readonly key: string;
  readonly revision: number;
  /** undefined: deleted. */
  readonly value?: unknown;
}

interface WireRow {
  path: string;
  value: unknown;
  stamp: number;
}
type WireEvent = { write: string; value: unknown; stamp: number } | { delete: string; stamp: number };

const rowOf = (wire: WireRow): Row => ({ key: wire.path, value: wire.value, revision: wire.stamp });

const changeOf = (change: Change): object =>
  "put" in change
    ? {
        write: change.put,
        value: change.value,
        ...(change.leaseId === undefined ? {} : { permit: change.leaseId }),
      }
    : { delete: change.delete };

const eventOf = (event: WireEvent): WatchEvent =>
  "write" in event
    ? { key: event.write, value: event.value, revision: event.stamp }
    : { key: event.delete, revision: event.stamp };

/** Paths, bodies and answers of the state service. Times to live and waits go over the wire in milliseconds. */
export const state = {
  get: (key: string) => `/store/${key}`,
  list: (prefix: string, from: string | null) =>
    `/store?under=${prefix}&most=1000${from === null ? "" : `&from=${from}`}`,
  commit: "/commit",
  grants: "/grants",
  extend: (leaseId: number) => `/grants/${leaseId}/extend`,
  grant: (leaseId: number) => `/grants/${leaseId}`,
  watch: (prefix: string, from: number, waitMs: number) =>
    `/watch?under=${prefix}&from=${from}&wait_ms=${waitMs}`,
  grantBody: (ttl: Duration.Duration) => JSON.stringify({ ttl_ms: Math.round(Duration.toMillis(ttl)) }),
  leaseIdOf: (body: unknown) => (body as { permit: number }).permit,
  /** Without changes a transaction only compares. */
  commitBody: (when: readonly Condition[], apply: readonly Change[]) =>
    JSON.stringify({
      when: when.map((condition) => ({ path: condition.key, stamp: condition.revision })),
      ...(apply.length === 0 ? {} : { apply: apply.map(changeOf) }),
    }),
  row: (body: unknown) => rowOf(body as WireRow),
  rows: (body: unknown) => {
    const page = body as { rows: WireRow[]; more: boolean; ledger: number };
    return { rows: page.rows.map(rowOf), more: page.more, revision: page.ledger };
  },
  revision: (body: unknown) => (body as { ledger: number }).ledger,
  failed: (body: unknown) => (body as { failed?: string[] } | undefined)?.failed ?? [],
  events: (body: unknown) => {
    const answer = body as { ledger: number; news?: WireEvent[] };
    return { revision: answer.ledger, events: (answer.news ?? []).map(eventOf) };
  },
};
