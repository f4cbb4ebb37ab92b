/** Keeps track of the cloud's machines of this cluster and of the machine types that it offers. */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { jsonBytes } from "../../core/packing.js";
import { keys, type MachineType } from "../../core/records.js";
import { now } from "../../io/clock.js";
import type { WireMachineType } from "../../io/codec.js";
import type { Leadership } from "../members/membership.js";
import type { LeaderContext } from "./leader-context.js";

/** How long a node waits for types in the state service before it fetches them from the cloud itself. */
const MISSING_TYPES_DELAY = Duration.seconds(5);
const MISSING_TYPES_FETCH_INTERVAL = Duration.seconds(30);
const TYPES_REFRESH_INTERVAL = Duration.seconds(30);
const RETRY_PAUSE = Duration.seconds(1);
/** Machines per page of the cloud's listing. */
const LIST_PAGE_SIZE = 500;
/** Maximum share of the cloud's request rate that listings use; the rest is for scaling. */
const LIST_SHARE_OF_RATE = 0.5;

const sameTypes = (types: readonly MachineType[], others: readonly MachineType[]): boolean =>
  types.length === others.length &&
  types.every((type, index) => type.name === others[index]?.name && type.cpus === others[index]?.cpus);

/** Keeps the scheduler's list of machines and all nodes' machine types up to date. */
export class CloudInventory {
  /** Whether the types have changed since they were last written to the state service. */
  private hasUnwrittenTypes = false;

  constructor(private readonly context: LeaderContext) {}

  private readonly listOnce = Effect.gen(this, function* () {
    const rows = yield* this.context.services.cloud.listMachines();
    this.context.schedulerLock?.with((scheduler) => scheduler.machinesListed(rows, now()));
    this.context.stepRequested.notify();
    yield* Effect.sleep(Duration.max(this.context.options.listInterval, this.listPause(rows.length)));
  });

  /** Lists the machines periodically while this node leads. */
  readonly listMachines: Effect.Effect<never> = this.listOnce.pipe(
    Effect.catchAll(() => Effect.sleep(RETRY_PAUSE)),
    Effect.forever,
  );

  /** Pause that keeps listings of this many machines within their share of the cloud's request rate. */
  private listPause(machines: number): Duration.Duration {
    const requests = Math.ceil(machines / LIST_PAGE_SIZE);
    return Duration.seconds(requests / (this.context.options.cloudRps * LIST_SHARE_OF_RATE));
  }

  private readonly refreshTypesOnce = Effect.gen(this, function* () {
    const { cloud, jobCache, membership } = this.context.services;
    const rows = yield* cloud.listMachineTypes();
    const before = jobCache.types;
    jobCache.setTypes(rows);
    this.hasUnwrittenTypes ||= !sameTypes(before, jobCache.types);
    const { leadership } = membership;
    if (leadership !== null && this.hasUnwrittenTypes) yield* this.writeTypes(rows, leadership);
    this.context.stepRequested.notify();
    yield* Effect.sleep(TYPES_REFRESH_INTERVAL);
  });

  /** Fetches the machine types periodically and stores them for the other nodes, while this node leads. */
  readonly refreshTypes: Effect.Effect<never> = this.refreshTypesOnce.pipe(
    Effect.catchAll(() => Effect.sleep(RETRY_PAUSE)),
    Effect.forever,
  );

  private writeTypes(rows: readonly WireMachineType[], leadership: Leadership): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const { rejections } = this.context;
      if (jsonBytes(rows) > this.context.valueBytes) {
        rejections.noteRejection(
          "types",
          "larger than a value may be; each node fetches them from the cloud instead",
        );
        return;
      }
      const result = yield* this.context.services.state.commit(
        [{ key: keys.leader, revision: leadership.revision }],
        [{ put: keys.types, value: rows }],
      );
      if (result.ok === null) rejections.noteRejection("types", result.error);
      else this.hasUnwrittenTypes = false;
    }).pipe(Effect.ignore);
  }

  private readonly fetchMissingTypesOnce = Effect.gen(this, function* () {
    const { cloud, jobCache, membership } = this.context.services;
    yield* Effect.sleep(MISSING_TYPES_DELAY);
    if (jobCache.types.length > 0 || membership.leadership !== null) return;
    const rows = yield* cloud.listMachineTypes();
    jobCache.setTypes(rows);
    yield* Effect.sleep(MISSING_TYPES_FETCH_INTERVAL);
  });

  /** Fetches the types on a node that doesn't lead, if they are too large to be stored in the state service. */
  readonly fetchMissingTypes: Effect.Effect<never> = this.fetchMissingTypesOnce.pipe(
    Effect.catchAll(() => Effect.sleep(MISSING_TYPES_FETCH_INTERVAL)),
    Effect.forever,
  );
}
