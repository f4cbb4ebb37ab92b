/** Jobs that fail on every machine: tried again within bounds, and never at the cost of machines or of other jobs. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Command } from "../src/core/records.js";
import { instant } from "../src/core/time.js";
import { EAST, Scene } from "./scene.js";
import { jobSpec as spec } from "./specs.js";

const BROKEN = "req-000001";

/** Steps through so many seconds in which every task of the broken job fails as soon as it runs. */
const failFor = (scene: Scene, seconds: number): void => {
  for (const until = scene.now + seconds * 1000; scene.now < until;) {
    scene.step();
    for (const [machine, tasks] of scene.tasks)
      for (const [key, task] of tasks)
        if (task.job === BROKEN && task.state === "running")
          scene.tasks.get(machine)!.set(key, { ...task, state: "exited", exitReason: "error" });
  }
};

const starts = (scene: Scene): Command[] =>
  scene.sent
    .filter(({ order: command }) => command.op === "start" && command.job === BROKEN)
    .map(({ order: command }) => command);

const rented = (scene: Scene): number =>
  scene.s
    .stepFleet(instant(scene.now))
    .reduce((count, decision) => count + (decision.kind === "rent" ? decision.rent.count : 0), 0);

/** A scene in which the broken job was started everywhere and is known to fail wherever it runs. */
const sceneWithBroken = (): Scene => {
  const scene = new Scene(EAST);
  scene.s.listed([], instant(scene.now));
  scene.s.jobSeen(spec({ id: BROKEN, tasks: 200 }), 20, instant(scene.now));
  failFor(scene, 6);
  return scene;
};

test("a job that fails everywhere is tried one task at a time, ever more seldom, and never given up", () => {
  const scene = sceneWithBroken();
  const before = starts(scene).length;
  failFor(scene, 120);
  const later = starts(scene).length - before;
  assert.ok(later >= 2, `${later} further tries`);
  assert.ok(later <= 12, `${later} further tries`);
  failFor(scene, 120);
  const last = starts(scene).length - before - later;
  assert.ok(last >= 1 && last <= 4, `${last} tries in the last two minutes`);
});

test("no machine is rented, kept or returned for a job that fails everywhere", () => {
  const scene = sceneWithBroken();
  assert.equal(rented(scene), 0);
  failFor(scene, 40);
  assert.equal(rented(scene), 0);
  assert.ok([...scene.s.cluster.machines.values()].every((machine) => machine.cordonedAt === null));
});

test("machines are drained although a job that fails everywhere has tasks to start", () => {
  const isDraining = (broken: boolean): boolean => {
    const scene = broken ? sceneWithBroken() : new Scene(EAST);
    // one replica a machine, on half of it: two of them fit on one
    const replicas = { kind: "service", priority: "production", spot: false, tasks: 3 } as const;
    scene.s.jobSeen(spec({ id: "req-000002", image: "x", ...replicas }), 21, instant(scene.now));
    failFor(scene, 60);
    // between two tries of the broken job
    while ((scene.s.cluster.jobs.get(BROKEN)?.retryAt ?? Infinity) <= scene.now) failFor(scene, 0.5);
    scene.s.stepFleet(instant(scene.now));
    return [...scene.s.cluster.machines.values()].some((machine) => machine.draining);
  };
  assert.equal(isDraining(false), true);
  assert.equal(isDraining(true), true);
});

test("a job of which some task runs for long is not taken for one that fails everywhere", () => {
  const scene = new Scene([...EAST, { id: "n-4", zone: "east" }, { id: "n-5", zone: "east" }]);
  scene.s.jobSeen(spec({ id: BROKEN, tasks: 60 }), 20, instant(scene.now));
  scene.step();
  // three of five machines fail what they start
  for (const id of ["n-1", "n-2", "n-3"]) scene.end(id, "error");
  scene.step();
  const before = starts(scene).length;
  for (let i = 0; i < 24; i++) scene.step();
  scene.end("n-4", "error");
  scene.step();
  assert.ok(starts(scene).length > before, "the others are tried again");
  assert.ok(rented(scene) > 0 || scene.s.cluster.jobs.get(BROKEN)!.pending.size > 1);
});

test("a job that fails everywhere goes before no other, however long it waits", () => {
  const scene = sceneWithBroken();
  failFor(scene, 110);
  scene.s.jobSeen(spec({ id: "req-000003", tasks: 6, image: "y" }), 22, instant(scene.now));
  const before = scene.sent.length;
  scene.step();
  const started = scene.sent.slice(before).filter(({ order: command }) => command.op === "start");
  assert.equal(started.filter(({ order: command }) => command.job === "req-000003").length, 6);
});

test("a new leader rents nothing in place of machines that have yet to report to it", () => {
  const rents = (seconds: number): number => {
    const scene = new Scene([]);
    for (const { id, zone } of EAST)
      scene.s.recorded(id, { type: "small", zone, spot: false, addr: id }, instant(0));
    scene.s.listed([], instant(0));
    scene.s.jobSeen(spec({ id: "req-000004", tasks: 6 }), 5, instant(0));
    scene.now = seconds * 1000;
    return rented(scene);
  };
  assert.equal(rents(1), 0);
  assert.equal(rents(4), 0);
  // whoever isn't heard by then is probably gone
  assert.ok(rents(12) > 0);
});
