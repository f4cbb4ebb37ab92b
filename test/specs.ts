/** A default job, so that tests state only the fields that matter to them. */
import * as Duration from "effect/Duration";
import type { JobSpec } from "../src/core/records.js";

/** An array job of one task; `overrides` replace its default fields. */
export const jobSpec = (overrides: Partial<JobSpec>): JobSpec => ({
  id: "req-000001",
  className: "maps",
  team: "blue",
  kind: "array",
  priority: "normal",
  tasks: 1,
  cpus: 4,
  gpus: 0,
  memoryGb: 2,
  image: "img",
  imageGb: 1,
  types: null,
  zone: null,
  oneZone: false,
  spreadOverZones: false,
  spot: true,
  estimate: Duration.seconds(30),
  checkpointInterval: Duration.zero,
  saveDuration: Duration.zero,
  deadline: null,
  dependsOn: [],
  ...overrides,
});
