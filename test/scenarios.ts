/**
 * Runs tables of scenarios on the simulated cluster. A scenario fails if a rule is violated, if accepted jobs are not
 * served once faults have stopped, or if the events that it is about occurred too rarely. Where a scenario names guards,
 * it is run again with each of them disabled, and the checker has to report a violation.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Guard, World } from "./model.js";

export interface Scenario {
  readonly name: string;
  /** How often random faults occur besides those of the scenario; 0: never. */
  readonly faultRate?: number;
  /** Overrides the number of seeds of the table. */
  readonly seedCount?: number;
  /** The number of seeds with shards, where the events of the scenario may coincide less often. */
  readonly seedCountWithShards?: number;
  readonly run: (world: World, seed: number) => void;
  /** How often each of these events has to occur at least, summed over all seeds. */
  readonly minimumCounts: Readonly<Record<string, number>>;
  /** Guards to disable, each with the rules of which the checker then has to report one as violated. */
  readonly guards?: readonly (readonly [Guard, readonly string[]])[];
}

export interface SuiteOptions {
  readonly seedCount: number;
  readonly firstSeed: number;
  /** On how many seeds a run with a disabled guard is tried until a violation is reported. */
  readonly maxSeedsWithoutGuard: number;
  /** Once faults have stopped, all accepted jobs have to be served within this time. */
  readonly servedWithinMs: number;
  /** Whether events after the faults have stopped count too. */
  readonly countsWhileServing: boolean;
}

const printCounts = process.env["COUNTS"] !== undefined;

export const runScenarios = (scenarios: readonly Scenario[], options: SuiteOptions): void => {
  const runUntilServed = (world: World): World => {
    world.stopFaults().runUntil(() => world.unserved().length === 0, options.servedWithinMs);
    return world;
  };
  for (const scenario of scenarios) {
    const { name, faultRate = 0.5, run, minimumCounts, guards = [] } = scenario;
    const defaultSeedCount = scenario.seedCount ?? options.seedCount;
    const seedCount = World.withShards
      ? (scenario.seedCountWithShards ?? defaultSeedCount)
      : defaultSeedCount;
    test(name, () => {
      const totals = new Map<string, number>();
      const addCounts = (world: World): void => {
        for (const [event, n] of world.eventCounts) totals.set(event, (totals.get(event) ?? 0) + n);
      };
      for (let seed = options.firstSeed; seed < options.firstSeed + seedCount; seed++) {
        const world = new World(seed, null, faultRate);
        run(world, seed);
        assert.deepEqual(world.violations, [], `seed ${seed}`);
        if (!options.countsWhileServing) addCounts(world);
        runUntilServed(world);
        if (options.countsWhileServing) addCounts(world);
        assert.deepEqual(world.violations, [], `seed ${seed}, after the faults stopped`);
        assert.deepEqual(world.unserved(), [], `seed ${seed}: never served`);
      }
      if (printCounts) console.log(name, Object.fromEntries(totals));
      for (const [what, minimum] of Object.entries(minimumCounts))
        assert.ok(
          (totals.get(what) ?? 0) >= minimum,
          `${what}: ${totals.get(what) ?? 0} times, expected at least ${minimum}`,
        );
    });

    for (const [guard, rules] of guards)
      test(`${name}: the checker reports a violation without the guard "${guard}"`, () => {
        const violatedRules = new Set<string>();
        for (let seed = options.firstSeed; seed < options.firstSeed + options.maxSeedsWithoutGuard; seed++) {
          const world = new World(seed, guard, faultRate);
          run(world, seed);
          if (world.violations.length === 0 && runUntilServed(world).unserved().length > 0)
            violatedRules.add("unserved");
          for (const { rule } of world.violations) violatedRules.add(rule);
          if (!rules.some((rule) => violatedRules.has(rule))) continue;
          if (printCounts) console.log(guard, seed - options.firstSeed, [...violatedRules]);
          return;
        }
        assert.fail(
          `no run violated ${rules.join(" or ")}; violated: ${[...violatedRules].join(", ") || "no rule"}`,
        );
      });
  }
};
