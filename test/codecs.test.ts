/** Decoding of submissions, heartbeats, and messages between controllers. */
import assert from "node:assert/strict";
import { test } from "node:test";
import * as Duration from "effect/Duration";
import { unschedulableReason } from "../src/core/placement/admission.js";
import { parseHeartbeat, parseSubmission, decodeJobRecord } from "../src/io/codec.js";
import { deliveryReceiptCodec, syncRequestCodec } from "../src/io/peer-codec.js";
import { fromFragments, fragmentLimits, toFragments } from "../src/service/members/update-relay.js";
import { TEAMS, TYPES } from "./model.js";
import { heartbeatWith } from "./term-fixture.js";
import { present } from "./present.js";

const submission = {
  ref: "req-000412",
  roster: "train",
  crew: "red",
  shape: "ensemble",
  urgency: "urgent",
  chores: 4,
  vcpus: 2,
  gpus: 0,
  mem_gb: 4,
  bundle: "img",
  image_gb: 1,
  district: null,
  together: false,
  apart: true,
  loaners: false,
  expected_s: 20,
  bookmark_s: 0,
  stash_s: 0,
  due_s: 90,
};

const without = (...names: string[]): object =>
  Object.fromEntries(Object.entries(submission).filter(([name]) => !names.includes(name)));

test("a submission that lacks a required field is malformed, but a stored record without it is read", () => {
  const optional = ["builds", "district", "due_s"];
  for (const name of Object.keys(submission)) {
    const rest = without(name);
    const isValidWithout = typeof parseSubmission(JSON.stringify(rest)) !== "string";
    assert.equal(isValidWithout, optional.includes(name), name);
    const isValidWithNull = typeof parseSubmission(JSON.stringify({ ...rest, [name]: null })) !== "string";
    assert.equal(isValidWithNull, optional.includes(name), `${name}: null`);
  }
  const storedRecord = without("gpus", "loaners", "stash_s");
  assert.equal(decodeJobRecord("req-000412", storedRecord)?.gpus, 0);
  assert.equal(decodeJobRecord("req-000413", storedRecord), null);
});

test("submissions: optional fields may be null or omitted, and jobs that can never run are refused", () => {
  const parsed = parseSubmission(JSON.stringify(submission));
  assert.ok(typeof parsed !== "string");
  assert.equal(parsed.spec.kind, "gang");
  assert.equal(parsed.spec.gpus, 0);
  assert.equal(Duration.toSeconds(present(parsed.spec.deadline)), 90);
  const teams = new Map(TEAMS.map((team) => [team.name, team]));
  const refusalReason = (more: object) => unschedulableReason({ ...parsed.spec, ...more }, teams, TYPES);
  assert.equal(refusalReason({}), null);
  assert.match(present(refusalReason({ team: "green" })), /no such team/);
  assert.match(present(refusalReason({ cpus: 17 })), /no allowed machine/);
  assert.match(present(refusalReason({ cpus: 10, types: ["small"] })), /no allowed machine/);
  assert.match(present(refusalReason({ tasks: 13 })), /limit/);
  assert.equal(refusalReason({ tasks: 13, kind: "array" }), null);
  assert.equal(refusalReason({ tasks: 13, team: "blue" }), null);
});

test("malformed heartbeats are refused without an exception", () => {
  const good = {
    hearth: "n",
    endpoint: "10.0.0.1:9",
    build: "b",
    district: "d",
    shift: 1,
    tally: 1,
    baton: 0,
  };
  const task = { chore: "req-1/2", try: 3, status: "running" };
  assert.equal(parseHeartbeat({ ...good, chores: [task] })?.tasks[0]?.index, 2);
  for (const bad of [
    null,
    3,
    {},
    { ...good, shift: 1.5 },
    { ...good, tally: -1 },
    { ...good, endpoint: "x" },
    { ...good, endpoint: "10.0.0.1:99999999" },
    { ...good, hearth: "n".repeat(1000) },
    { ...good, chores: {} },
    { ...good, chores: [null] },
    { ...good, chores: [{ ...task, chore: 7 }] },
    { ...good, chores: [{ ...task, chore: "req-1/x" }] },
    { ...good, chores: [{ ...task, try: "3" }] },
    { ...good, chores: [{ ...task, status: "dancing" }] },
  ])
    assert.equal(parseHeartbeat(bad), null, JSON.stringify(bad).slice(0, 100));
});

test("messages between controllers survive encoding and decoding", () => {
  const heartbeat = heartbeatWith({
    reclaimNoticeSeconds: 3.5,
    tasks: [{ job: "req-1", index: 99_999, attempt: 4_000_000_001, state: "exited", exitReason: "done" }],
  });
  const sync = {
    termNumber: 2 ** 40,
    member: "a",
    incarnation: 12,
    leaderClockMark: -1,
    progressVersion: 7,
    reachesStateService: true,
    contacts: [{ machine: "n-1", answerAgeMs: 12.5, heartbeatAgeMs: -1 }],
    commandResults: [{ id: 3_000_000_000_001, outcome: "unknown" as const, workerEpoch: 1, sequence: 2 }],
    heartbeats: [{ heartbeat, ageMs: 7 }],
    storedFinishes: [{ job: "req-1", ranges: [[0, 7] as const] }],
  };
  assert.deepEqual(
    JSON.parse(JSON.stringify(syncRequestCodec.decode(syncRequestCodec.encode(sync)))),
    JSON.parse(JSON.stringify(sync)),
  );
  assert.equal(deliveryReceiptCodec.decode(deliveryReceiptCodec.encode({ accepted: true })).accepted, true);
  const pieces = present(toFragments(sync, fragmentLimits(16, 16)));
  assert.deepEqual(JSON.parse(JSON.stringify(fromFragments(pieces))), JSON.parse(JSON.stringify(sync)));
  assert.equal(fromFragments([{ of: 2, data: present(pieces[0]).data }]), null);
  assert.equal(fromFragments([{ of: 1, data: "????" }]), null);
});
