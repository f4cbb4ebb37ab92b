/** The API of the state service: a key-value store with leases, watches and compare-and-swap. */
import * as Duration from "effect/Duration";

/** A key, its value, and the revision of its last change. */
export interface Row {
  readonly key: string;
  readonly value: unknown;
  readonly revision: number;
}
/** A condition of a transaction: the key's last change has this revision; 0: the key doesn't exist. */
export interface Condition {
  readonly key: string;
  readonly revision: number;
}
/** An operation of a transaction. A `put` without `leaseId` detaches its key from any lease. */
export type Change =
  { readonly put: string; readonly value: unknown; readonly leaseId?: number } | { readonly delete: string };
/** A change reported by a watch. */
export interface WatchEvent {
  readonly key: string;
  readonly revision: number;
  /** undefined: the key was deleted. */
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

/** Paths, request bodies and response parsers. */
export const stateServiceApi = {
  keyPath: (key: string) => `/store/${key}`,
  listPath: (prefix: string, from: string | null) =>
    `/store?under=${prefix}&most=1000${from === null ? "" : `&from=${from}`}`,
  commitPath: "/commit",
  leasesPath: "/grants",
  leaseRenewalPath: (leaseId: number) => `/grants/${leaseId}/extend`,
  leasePath: (leaseId: number) => `/grants/${leaseId}`,
  watchPath: (prefix: string, from: number, waitMs: number) =>
    `/watch?under=${prefix}&from=${from}&wait_ms=${waitMs}`,
  leaseBody: (ttl: Duration.Duration) => JSON.stringify({ ttl_ms: Math.round(Duration.toMillis(ttl)) }),
  parseLeaseId: (body: unknown) => (body as { permit: number }).permit,
  /** A transaction without operations only checks its conditions. */
  commitBody: (conditions: readonly Condition[], operations: readonly Change[]) =>
    JSON.stringify({
      when: conditions.map((condition) => ({ path: condition.key, stamp: condition.revision })),
      ...(operations.length === 0 ? {} : { apply: operations.map(changeOf) }),
    }),
  parseRow: (body: unknown) => rowOf(body as WireRow),
  parseRows: (body: unknown) => {
    const page = body as { rows: WireRow[]; more: boolean; ledger: number };
    return { rows: page.rows.map(rowOf), more: page.more, revision: page.ledger };
  },
  parseRevision: (body: unknown) => (body as { ledger: number }).ledger,
  parseFailedKeys: (body: unknown) => (body as { failed?: string[] } | undefined)?.failed ?? [],
  parseEvents: (body: unknown) => {
    const answer = body as { ledger: number; news?: WireEvent[] };
    return { revision: answer.ledger, events: (answer.news ?? []).map(eventOf) };
  },
};
