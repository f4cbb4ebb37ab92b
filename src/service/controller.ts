/** Builds the parts of a controller, wires them together, and serves users, workers, peers and operators. */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { leaseTimingsOf, type LeaseTimings } from "../core/leases/term.js";
import type { Team } from "../core/records.js";
import { CloudClient } from "../io/cloud-client.js";
import type { Log } from "../io/log.js";
import type { Settings } from "../io/settings.js";
import type { OperatorAnswer } from "../io/shard-codec.js";
import { StateClient } from "../io/state-client.js";
import { WorkerClient } from "../io/worker-client.js";
import { ApiServer } from "./api/api-server.js";
import { JobStatusReader } from "./api/job-status.js";
import { JobCache } from "./job-cache.js";
import { JobReader } from "./job-reader.js";
import { JobReleaser } from "./leader/job-releaser.js";
import { Leader, type LeaderServices } from "./leader/leader.js";
import { Member } from "./members/member.js";
import { Membership } from "./members/membership.js";
import { Peers, servePeers } from "./members/peers.js";
import { serveOperators } from "./operators-server.js";
import { shardExtension, Shards } from "./shards/shards.js";

/**
 * Shares of the platform's limit of open sockets. If other nodes are down, all users and workers connect to this one,
 * so idle connections to workers are closed to make room for them.
 */
const API_CONNECTION_SHARE = 0.85;
const WORKER_CALL_CONNECTION_SHARE = 0.06;
const IDLE_WORKER_CONNECTION_SHARE = 0.3;
/** For the state service, the cloud and the other nodes. */
const OTHER_CONNECTION_SHARE = 0.05;

/** The timeout of a watch of the jobs, as a share of the time for which a view of them counts as fresh. */
const WATCH_TIMEOUT_PER_VIEW_AGE = 0.2;
const MAX_WATCH_TIMEOUT = Duration.seconds(2);
/** The longest that a list takes, and the burst of one second's worth of changes that the limit of their rate allows. */
const LIST_AND_BURST_ALLOWANCE = Duration.seconds(5);
/** Keys that are removed with their lease count as changes too, beyond the limit of their rate. */
const EXPIRED_KEYS_ALLOWANCE = 1.1;
/** A transaction may have this many conditions for each change that it may have. */
const CONDITIONS_PER_CHANGE = 4;
/** How long after its expiry a machine's last contact is still remembered. */
const CONTACT_RETENTION_AFTER_EXPIRY = Duration.seconds(20);
const MIN_LIST_INTERVAL_S = 2;

/** What all other parts are built on. */
interface BaseServices {
  readonly settings: Settings;
  readonly log: Log;
  readonly timings: LeaseTimings;
  readonly teams: ReadonlyMap<string, Team>;
  readonly state: StateClient;
  readonly cloud: CloudClient;
  readonly peers: Peers;
  /** Counts the open connections of users and workers; 0 until the API server is built, which comes last. */
  readonly apiConnections: { count: () => number };
}

/** The parts by which this node takes part in the cluster, whether or not it leads. */
interface Cluster {
  readonly jobCache: JobCache;
  readonly jobReader: JobReader;
  readonly membership: Membership;
  readonly member: Member;
  /** null if the settings turn shards off. */
  readonly shards: Shards | null;
}

/** The whole controller. */
interface Controller extends BaseServices, Cluster {
  readonly status: JobStatusReader;
  readonly leader: Leader;
  readonly apiServer: ApiServer;
}

const buildBaseServices = (settings: Settings, log: Log): BaseServices => {
  const state = new StateClient(settings.stateServiceAddr, settings.stateLimits, settings.peers.length + 1);
  state.setLeading(false);
  return {
    settings,
    log,
    timings: leaseTimingsOf(settings.workers, settings.operator.memberLease),
    teams: new Map(settings.teams.map((team) => [team.name, team])),
    state,
    cloud: new CloudClient(settings.cloudAddr, settings.cloudLimits.rps),
    peers: new Peers(settings.peers),
    apiConnections: { count: () => 0 },
  };
};

/** The most changes that the state service makes between a cancel whose deadline passes now and the answer to a list. */
const maxChangesPerDeadline = (
  cancelDeadline: Duration.Duration,
  { writeRps, next }: Settings["stateLimits"],
): number => {
  const span = Duration.sum(cancelDeadline, LIST_AND_BURST_ALLOWANCE);
  return Math.ceil(Math.max(writeRps, next.writeRps) * Duration.toSeconds(span) * EXPIRED_KEYS_ALLOWANCE);
};

const buildJobReader = ({ settings, state, log, timings }: BaseServices): [JobCache, JobReader] => {
  const { cancelDeadline, jobViewMaxAge } = timings;
  const maxChanges = maxChangesPerDeadline(cancelDeadline, settings.stateLimits);
  const cache = new JobCache(log, { cancelDeadline, maxEndsPerDeadline: maxChanges });
  const reader = new JobReader(cache, state, log, {
    watchTimeout: Duration.min(MAX_WATCH_TIMEOUT, Duration.times(jobViewMaxAge, WATCH_TIMEOUT_PER_VIEW_AGE)),
    maxChangesPerDeadline: maxChanges,
  });
  return [cache, reader];
};

const buildMembership = (base: BaseServices, jobCache: JobCache): Membership => {
  const { settings, timings, state, log, peers } = base;
  return new Membership(
    settings.member,
    settings.zone,
    timings,
    state,
    log,
    settings.peers.map((peer) => peer.member),
    (other, termNumber) => peers.confirmTerm(other, termNumber),
    () => jobCache.currentAsOf,
    settings.operator.shards.enabled ? shardExtension(settings.member, state) : undefined,
  );
};

const buildWorkerClient = ({ settings, apiConnections }: BaseServices): WorkerClient => {
  const { maxConnections } = settings;
  return new WorkerClient(Math.ceil(maxConnections * WORKER_CALL_CONNECTION_SHARE), () => {
    const left =
      maxConnections * (1 - OTHER_CONNECTION_SHARE - WORKER_CALL_CONNECTION_SHARE) - apiConnections.count();
    return Math.min(left, maxConnections * IDLE_WORKER_CONNECTION_SHARE);
  });
};

const buildMember = (base: BaseServices, membership: Membership, workers: WorkerClient): Member => {
  const { settings, timings, state, peers, log } = base;
  const options = {
    self: settings.member,
    txnOps: settings.stateLimits.txnOps,
    valueKb: settings.stateLimits.valueKb,
    contactRetention: Duration.sum(timings.machineExpiry, CONTACT_RETENTION_AFTER_EXPIRY),
  };
  return new Member(options, membership, state, workers, peers, log);
};

const buildShards = (base: BaseServices, membership: Membership, workers: WorkerClient): Shards => {
  const { settings, timings, state, peers, log, apiConnections } = base;
  const options = {
    self: settings.member,
    settings: settings.operator.shards,
    timings,
    txnOps: settings.stateLimits.txnOps,
    freeConnections: () => settings.maxConnections * API_CONNECTION_SHARE - apiConnections.count(),
  };
  return new Shards(options, membership, state, workers, peers, log);
};

const buildCluster = (base: BaseServices): Cluster => {
  const [jobCache, jobReader] = buildJobReader(base);
  const membership = buildMembership(base, jobCache);
  const workers = buildWorkerClient(base);
  const member = buildMember(base, membership, workers);
  const { enabled } = base.settings.operator.shards;
  const shards = enabled ? buildShards(base, membership, workers) : null;
  if (shards !== null) member.partition.lookUpOwner = shards.ownerLookup(member.partition.lookUpOwner);
  return { jobCache, jobReader, membership, member, shards };
};

const maxConditions = (settings: Settings): number => settings.stateLimits.txnOps * CONDITIONS_PER_CHANGE;

const buildLeader = (base: BaseServices, cluster: Cluster, jobReleaser: JobReleaser): Leader => {
  const { settings, timings, teams, state, cloud, peers, log } = base;
  const { jobCache, membership, member, shards } = cluster;
  const { reuse, idleBoots, warmFor } = settings.operator;
  const listLagS = Duration.toSeconds(settings.cloudLimits.listLag);
  const services: LeaderServices = {
    membership,
    member,
    jobCache,
    state,
    cloud,
    peers,
    jobReleaser,
    shards: shards?.leader ?? null,
    log,
  };
  return new Leader(
    {
      self: settings.member,
      timings,
      teams,
      fleet: { reuse, idleBoots, warmFor },
      startLatencyObjectives: settings.startLatencyGoals,
      ...(shards === null ? {} : { ownership: shards.ownership }),
      txnOps: settings.stateLimits.txnOps,
      valueKb: settings.stateLimits.valueKb,
      cloudRps: settings.cloudLimits.rps,
      listInterval: Duration.seconds(Math.max(MIN_LIST_INTERVAL_S, listLagS / 2)),
    },
    services,
  );
};

const buildApiServer = (
  { settings, teams, state, log }: BaseServices,
  { jobCache, member }: Cluster,
  status: JobStatusReader,
  leader: Leader,
): ApiServer => {
  const options = {
    bind: settings.apiBind,
    maxConnections: Math.floor(settings.maxConnections * API_CONNECTION_SHARE),
    teams,
    valueKb: settings.stateLimits.valueKb,
    maxConditions: maxConditions(settings),
  };
  return new ApiServer(options, state, jobCache, status, member, leader, log);
};

/** Connects the parts that change the term, jobs or outcomes to those that have to know of the changes. */
const connectListeners = ({
  jobCache,
  jobReader,
  membership,
  member,
  shards,
  status,
  leader,
}: Omit<Controller, "apiServer">) => {
  jobReader.isLeading = () => membership.leadership !== null;
  membership.onTerm = (term) => {
    shards?.view.setTerm(term, membership.termRevision);
    member.partition.setTerm(term);
    leader.termChanged(term);
    member.termChanged();
  };
  member.isUnfinished = (job) => jobCache.releasedJobs.has(job);
  member.standingOf = (job) => jobCache.standingOf(job);
  member.onDone = (job, tasks) => {
    status.remember(job, { outcome: "done", tasks });
    jobCache.remove(job);
  };
};

const buildController = (settings: Settings, log: Log): Controller => {
  const base = buildBaseServices(settings, log);
  const cluster = buildCluster(base);
  const { state, apiConnections } = base;
  const { jobCache } = cluster;
  const status = new JobStatusReader(state, jobCache, maxConditions(settings), log);
  const jobReleaser = new JobReleaser(state, jobCache, status, log);
  const leader = buildLeader(base, cluster, jobReleaser);
  connectListeners({ ...base, ...cluster, status, leader });
  const apiServer = buildApiServer(base, cluster, status, leader);
  apiConnections.count = () => apiServer.openConnections;
  return { ...base, ...cluster, status, leader, apiServer };
};

/** The answer to operators if the settings don't turn shards on. */
const answerShardsOff = (): Effect.Effect<OperatorAnswer> =>
  Effect.succeed({
    status: 409,
    body: JSON.stringify({ reason: "shards are off in this controller's settings" }),
  });

/** A failure to open the operators' socket is only logged: operators can use another controller's. */
const serveOperatorsIfConfigured = ({ settings, shards, log }: Controller): Effect.Effect<void> => {
  const { operatorsSocket } = settings.operator;
  if (operatorsSocket === null) return Effect.void;
  return serveOperators(
    operatorsSocket,
    shards === null ? answerShardsOff : (request) => shards.operator.answerOrForward(request),
  ).pipe(
    Effect.catchAll((error) =>
      Effect.sync(() =>
        log.error({ reason: error.message, operatorsSocket }, "can't open the operators' socket"),
      ),
    ),
  );
};

const serve = (controller: Controller): Effect.Effect<void, Error> =>
  Effect.gen(function* () {
    const { settings, log, leader, member, membership, shards, apiServer } = controller;
    yield* servePeers(settings.peerBind, {
      sync: leader.sync,
      deliver: (delivery) => member.deliver(delivery),
      confirmTerm: ({ termNumber }) => ({ knowsNoNewerTerm: membership.knowsNoNewerTerm(termNumber) }),
      shards: shards?.handlers ?? null,
    });
    yield* serveOperatorsIfConfigured(controller);
    yield* apiServer.serve();
    log.info({ front: settings.apiBind, peers: settings.peerBind }, "listening");
  });

/** Runs a controller until the process is killed; fails only if a socket can't be bound. */
export const runController = (settings: Settings, log: Log): Effect.Effect<void, Error> =>
  Effect.gen(function* () {
    const controller = buildController(settings, log);
    yield* serve(controller);
    const { membership, jobReader, member, leader, shards } = controller;
    yield* Effect.all([membership.run, jobReader.run, member.run, leader.run, shards?.run ?? Effect.void], {
      concurrency: "unbounded",
      discard: true,
    });
  });
