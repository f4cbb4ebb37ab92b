/** The entry point of the simulated cluster in test/model/. */
export { type Guard, TEAMS, TIMINGS, TYPES } from "./model/settings.js";
export { World } from "./model/world.js";
