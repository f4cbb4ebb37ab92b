/**
 * Machine records while versions are mixed, in seeded runs: leaders of the production version ("old") and of this one
 * ("new") alternate, machines come and go, answers are lost and writes are delayed. Old leaders rewrite a record as a
 * whole, new ones split a record that is too large. Every machine that is up must be in a record at all times, and the
 * production version must be able to read every record.
 */
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { Ajv } from "ajv";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { keys, type MachineRecord, type MachinesRecord } from "../src/core/records.js";
import { MachineRecordStore, type Rewrite } from "../src/service/leader/machine-record-store.js";

type Guard =
  /** The pieces of a split are written in the transaction that deletes the record. */
  "pieces";
interface Write {
  readonly term: number;
  /** Condition: none of these keys exists. */
  readonly absentKeys: readonly string[];
  readonly puts: Readonly<Record<string, MachinesRecord>>;
  readonly deletes: readonly string[];
}
interface Leader {
  readonly version: "old" | "new";
  readonly term: number;
  readonly store: MachineRecordStore;
  keyCount: number;
}

const SEED_COUNT = 24;
const STEP_COUNT = 1500;
const MAX_MACHINES = 30;
const MAX_OPS = 6;
const RECORD: MachineRecord = { type: "small", zone: "east", spot: false, addr: "127.0.0.1:45823" };

const productionSchemas = JSON.parse(
  readFileSync(new URL("../../../test/production/schemas.json", import.meta.url), "utf8"),
) as { records: Record<string, object> };
const isReadableByProduction = new Ajv({ strict: false }).compile(productionSchemas.records[keys.machines]!);

class MixedVersionsRun {
  readonly broken = new Set<string>();
  readonly counts = new Map<string, number>();
  private readonly rows = new Map<string, MachinesRecord>();
  private readonly liveMachines = new Set<string>();
  private delayedWrites: { readonly dueStep: number; readonly write: Write }[] = [];
  private stepNumber = 0;
  private machineCount = 0;
  private hasNoFaults = false;
  private leader: Leader;
  private readonly random: () => number;

  constructor(
    seed: number,
    private readonly disabledGuard: Guard | null = null,
  ) {
    const generator = xoroshiro128plus(seed);
    this.random = () => uniformFloat64(generator);
    this.leader = this.takeOver("old", 1);
  }

  private count(what: string): void {
    this.counts.set(what, (this.counts.get(what) ?? 0) + 1);
  }

  /** Starts a new leader of this version, which reads all records. */
  private takeOver(version: Leader["version"], term: number): Leader {
    const store = new MachineRecordStore();
    const seen = new Set<string>();
    for (const [key, { machines }] of this.rows) {
      store.add(key, machines);
      for (const id of Object.keys(machines)) {
        if (seen.has(id)) this.count(`machines in two records, read by ${version} leaders`);
        seen.add(id);
      }
    }
    for (const id of seen) if (!this.liveMachines.has(id)) store.remove(id);
    this.leader = { version, term, store, keyCount: 0 };
    return this.leader;
  }
  private readonly newKey = (): string => keys.machinesOf(`${this.leader.term}-${++this.leader.keyCount}`);

  /** Applies a write if its conditions hold; returns the keys whose conditions failed. */
  private apply(write: Write): string[] {
    if (write.term !== this.leader.term) return [keys.leader];
    const failed = write.absentKeys.filter((key) => this.rows.has(key));
    if (failed.length > 0) return failed;
    for (const key of write.deletes) this.rows.delete(key);
    for (const [key, value] of Object.entries(write.puts)) {
      if (!isReadableByProduction(value)) this.broken.add("misread");
      this.rows.set(key, value);
    }
    return [];
  }
  /** Sends a write; null: no answer, and the write was applied or may be later. */
  private send(write: Write): string[] | null {
    const draw = this.hasNoFaults ? 1 : this.random();
    if (draw < 0.15) {
      this.delayedWrites.push({ dueStep: this.stepNumber + Math.floor(this.random() * 40), write });
      return null;
    }
    const result = this.apply(write);
    return draw < 0.3 ? null : result;
  }

  /** Records new machines, which may be used only after that. */
  private recordNewMachines(): void {
    const { store, term } = this.leader;
    const key = this.newKey();
    const ids = Array.from({ length: 4 + Math.floor(this.random() * 6) }, () => `n-${++this.machineCount}`);
    const machines = Object.fromEntries(ids.map((id) => [id, RECORD]));
    store.add(key, machines);
    const answer = this.send({ term, absentKeys: [key], puts: { [key]: { machines } }, deletes: [] });
    if (answer !== null && answer.length === 0) for (const id of ids) this.liveMachines.add(id);
    // machines whose write got no answer are never used
    else for (const id of ids) store.remove(id);
  }

  private rewriteRecords(): void {
    const { store, term, version } = this.leader;
    // the limit varies, as the state service may lower it at any time
    const limits = { valueBytes: 300 + this.random() * 500, txnBytes: 50_000, newKey: this.newKey };
    const rewrites =
      version === "new" ? store.pendingRewrites(MAX_OPS, limits) : store.pendingRewrites(MAX_OPS);
    if (rewrites.length === 0) return;
    const pieces = rewrites.flatMap((rewrite) => rewrite.pieces);
    const omitsPieces = this.disabledGuard === "pieces" && pieces.length > 0;
    const writtenPieces = omitsPieces ? [] : pieces;
    const rewritten = rewrites.flatMap(({ key, machines }) =>
      machines === null ? [] : [[key, { machines }]],
    );
    const answer = this.send({
      term,
      absentKeys: pieces.map((p) => p.key),
      puts: Object.fromEntries([
        ...writtenPieces.map((p) => [p.key, { machines: p.machines }]),
        ...rewritten,
      ]),
      deletes: rewrites.filter((rewrite) => rewrite.machines === null).map((rewrite) => rewrite.key),
    });
    this.handleRewriteAnswer(rewrites, answer);
  }
  private handleRewriteAnswer(rewrites: readonly Rewrite[], answer: string[] | null): void {
    const { store, version } = this.leader;
    if (answer === null) return;
    // a piece that exists shows that an earlier copy of its split was applied
    if (answer.length > 0)
      return store.markWritten(
        rewrites.filter((rewrite) => rewrite.pieces.some((p) => answer.includes(p.key))),
      );
    store.markWritten(rewrites);
    for (const { pieces } of rewrites)
      this.count(pieces.length > 0 ? "records split" : `records rewritten by ${version} leaders`);
  }

  private step(): void {
    this.stepNumber++;
    const due = this.delayedWrites.filter((delayed) => delayed.dueStep <= this.stepNumber);
    this.delayedWrites = this.delayedWrites.filter((delayed) => delayed.dueStep > this.stepNumber);
    for (const { write } of due) {
      const isApplied = this.apply(write).length === 0;
      this.count(isApplied ? "late writes carried out" : "late writes refused");
    }
    if (!this.hasNoFaults && this.random() < 0.03)
      this.takeOver(this.random() < 0.5 ? "old" : "new", this.leader.term + 1);
    if (!this.hasNoFaults && this.liveMachines.size < MAX_MACHINES) this.recordNewMachines();
    if (this.random() < 0.3) this.loseMachine();
    if (this.random() < 0.5) this.rewriteRecords();
    this.checkRecorded();
  }
  private loseMachine(): void {
    const id = [...this.liveMachines][Math.floor(this.random() * this.liveMachines.size)];
    if (id === undefined || this.hasNoFaults) return;
    this.liveMachines.delete(id);
    this.leader.store.remove(id);
  }
  private recordedMachines(): Set<string> {
    return new Set([...this.rows.values()].flatMap(({ machines }) => Object.keys(machines)));
  }
  private checkRecorded(): void {
    const recordedMachines = this.recordedMachines();
    for (const id of this.liveMachines) if (!recordedMachines.has(id)) this.broken.add("lost_machine");
  }

  run(): this {
    while (this.stepNumber < STEP_COUNT && this.broken.size === 0) this.step();
    return this;
  }
  /** Ends all faults and lets a leader of this version clean up; returns machines that are gone but still recorded. */
  cleanUp(version: Leader["version"]): string[] {
    this.hasNoFaults = true;
    this.delayedWrites = [];
    this.takeOver(version, this.leader.term + 1);
    for (let i = 0; i < 200; i++) this.step();
    return [...this.recordedMachines()].filter((id) => !this.liveMachines.has(id));
  }
}

const MIN_COUNTS: Readonly<Record<string, number>> = {
  "records rewritten by old leaders": 3000,
  "records rewritten by new leaders": 3000,
  "records split": 200,
  "late writes carried out": 600,
  "late writes refused": 400,
  "machines in two records, read by old leaders": 60,
  "machines in two records, read by new leaders": 60,
};

test("under leaders of both versions no machine that is up loses its record, and the records of others are deleted", () => {
  const total = new Map<string, number>();
  for (let seed = 1; seed <= SEED_COUNT; seed++) {
    const run = new MixedVersionsRun(seed).run();
    assert.deepEqual([...run.broken], [], `seed ${seed}`);
    assert.deepEqual(
      run.cleanUp(seed % 2 === 0 ? "old" : "new"),
      [],
      `seed ${seed}: records of machines that are gone`,
    );
    assert.deepEqual([...run.broken], [], `seed ${seed}, after the faults ended`);
    for (const [what, n] of run.counts) total.set(what, (total.get(what) ?? 0) + n);
  }
  if (process.env["COUNTS"] !== undefined) console.log(Object.fromEntries(total));
  for (const [what, least] of Object.entries(MIN_COUNTS))
    assert.ok((total.get(what) ?? 0) >= least, `${what}: only ${total.get(what) ?? 0} of ${least}`);
});

test("a record that is deleted without writing its pieces is noticed", () => {
  const noticed = Array.from(
    { length: SEED_COUNT },
    (_, i) => new MixedVersionsRun(i + 1, "pieces").run().broken,
  );
  assert.ok(noticed.some((broken) => broken.has("lost_machine")));
});
