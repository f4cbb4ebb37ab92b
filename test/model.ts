/** The model of a cluster (test/model/), for the tests that use it. */
export { type Guard, TEAMS, TIMINGS, TYPES } from "./model/settings.js";
export { World } from "./model/world.js";
