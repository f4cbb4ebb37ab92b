/**
 * Tables of scenarios on the model: that the troubles really met is counted, no rule may be broken, everything accepted
 * is served afterwards, and where a guard is named the checker has to notice that it is missing.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Guard, World } from "./model.js";

export interface Scenario {
  readonly name: string;
  /** How rough the rest of the run is. */
  readonly faultRate?: number;
  /** On how many seeds it is played. */
  readonly seedCount?: number;
  /** The same with shards, if more: histories differ there, and the troubles may meet less often in as many. */
  readonly seedCountWithShards?: number;
  readonly run: (world: World, seed: number) => void;
  /** How often this has to be reached, summed over all seeds. */
  readonly minimumCounts: Readonly<Record<string, number>>;
  /** What the checker has to notice when a guard is taken out; one of the rules. */
  readonly guards?: readonly (readonly [Guard, readonly string[]])[];
}

export interface SuiteOptions {
  readonly seedCount: number;
  readonly firstSeed: number;
  /** How many runs without a guard may pass before the checker notices. */
  readonly maxSeedsWithoutGuard: number;
  /** Once troubles are over, everything is served within so many milliseconds. */
  readonly servedWithinMs: number;
  /** Whether what is met while all is served counts too. */
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
        assert.deepEqual(world.violations, [], `seed ${seed}, once all is over`);
        assert.deepEqual(world.unserved(), [], `seed ${seed}: never served`);
      }
      if (printCounts) console.log(name, Object.fromEntries(totals));
      for (const [what, minimum] of Object.entries(minimumCounts))
        assert.ok((totals.get(what) ?? 0) >= minimum, `${what}: only ${totals.get(what) ?? 0} of ${minimum}`);
    });

    for (const [guard, rules] of guards)
      test(`${name}: noticed without the guard "${guard}"`, () => {
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
          `no run broke ${rules.join(" or ")}: ${[...violatedRules].join(", ") || "nothing at all"}`,
        );
      });
  }
};
