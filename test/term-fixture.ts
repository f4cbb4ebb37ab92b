/** A term and heartbeats with its fencing token, for tests of members and messages. */
import type { TermRecord, Heartbeat } from "../src/core/records.js";
import { fencingTokenOf } from "../src/core/leases/term.js";

/** A term with three members. */
export const TERM: TermRecord = {
  number: 4,
  leaderRevision: 10,
  leader: "a",
  members: [
    { name: "a", incarnation: 1, zone: "east" },
    { name: "b", incarnation: 2, zone: "west" },
    { name: "c", incarnation: 3, zone: "east" },
  ],
};

/** A heartbeat of a worker without tasks; `overrides` replace its default fields. */
export const heartbeatWith = (overrides: Partial<Heartbeat>): Heartbeat => ({
  machine: "n-1",
  addr: "x",
  type: "small",
  zone: "west",
  spot: false,
  workerEpoch: 1,
  sequence: 1,
  fencingToken: fencingTokenOf(4),
  reclaimNoticeSeconds: null,
  tasks: [],
  ...overrides,
});
