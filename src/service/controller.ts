/** One controller, wired together. */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { leaseTimingsOf } from "../core/leases/term.js";
import { CloudClient } from "../io/cloud-client.js";
import type { Log } from "../io/log.js";
import type { Settings } from "../io/settings.js";
import type { OperatorAnswer } from "../io/shard-codec.js";
import { StateClient } from "../io/state-client.js";
import { WorkerClient } from "../io/worker-client.js";
import { ApiServer } from "./api/api-server.js";
import { Leader } from "./leader/leader.js";
import { Member } from "./members/member.js";
import { Membership } from "./members/membership.js";
import { JobCache } from "./job-cache.js";
import { Peers, servePeers } from "./members/peers.js";
import { JobReleaser } from "./leader/job-releaser.js";
import { serveOperators } from "./operators-server.js";
import { shardExtension, Shards } from "./shards/shards.js";
import { JobStatusReader } from "./api/job-status.js";

/**
 * Shares of the platform's limit of sockets. When other nodes are down all workers and users come to this one, so what
 * is kept open to workers gives way to them.
 */
const FRONT = 0.85;
const CALLS = 0.06;
const KEPT = 0.3;
/** The state service, the cloud and the other nodes. */
const OTHERS = 0.05;

/** What operators are told where the settings don't turn shards on. */
const shardsAreOff = (): Effect.Effect<OperatorAnswer> =>
  Effect.succeed({
    status: 409,
    body: JSON.stringify({ reason: "shards are off in this controller's settings" }),
  });

/** Runs until the process is killed; fails only when a socket can't be bound. */
export const runController = (settings: Settings, log: Log): Effect.Effect<void, Error> =>
  Effect.gen(function* () {
    const timings = leaseTimingsOf(settings.workers, settings.operator.memberLease);
    const teams = new Map(settings.teams.map((team) => [team.name, team]));
    const nodes = settings.peers.length + 1;
    const shardSettings = settings.operator.shards;
    const state = new StateClient(settings.state, settings.stateLimits, nodes);
    state.setLeading(false);
    const cloud = new CloudClient(settings.cloud, settings.cloudLimits.rps);
    const peers = new Peers(settings.peers);
    const mirror = new JobCache(
      state,
      log,
      Duration.min(Duration.seconds(2), Duration.times(timings.jobViewMaxAge, 0.2)),
    );
    const membership = new Membership(
      settings.member,
      settings.zone,
      timings,
      state,
      log,
      settings.peers.map((p) => p.member),
      (other, token) => peers.confirmTerm(other, token),
      () => mirror.read,
      shardSettings.enabled ? shardExtension(settings.member, state) : undefined,
    );
    // the front, which is made last, knows
    let connections: (() => number) | null = null;
    const workers = new WorkerClient(Math.ceil(settings.maxConnections * CALLS), () => {
      const left = settings.maxConnections * (1 - OTHERS - CALLS) - (connections?.() ?? 0);
      return Math.min(left, settings.maxConnections * KEPT);
    });
    const member = new Member(
      {
        me: settings.member,
        txnOps: settings.stateLimits.txnOps,
        valueKb: settings.stateLimits.valueKb,
        keepFor: Duration.sum(timings.machineExpiry, Duration.seconds(20)),
      },
      membership,
      state,
      workers,
      peers,
      log,
    );
    const shards = shardSettings.enabled
      ? new Shards(
          {
            me: settings.member,
            settings: shardSettings,
            timings,
            txnOps: settings.stateLimits.txnOps,
            freeConnections: () => settings.maxConnections * FRONT - (connections?.() ?? 0),
          },
          membership,
          state,
          workers,
          peers,
          log,
        )
      : null;
    if (shards !== null) member.partition.ownerName = shards.ownerLookup(member.partition.ownerName);
    const status = new JobStatusReader(state, mirror, settings.stateLimits.txnOps * 4, log);
    const releases = new JobReleaser(state, mirror, status, log);
    const leader = new Leader(
      {
        me: settings.member,
        timings,
        teams,
        fleet: {
          reuse: settings.operator.reuse,
          idleBoots: settings.operator.idleBoots,
          warmFor: settings.operator.warmFor,
        },
        startLatencyObjectives: settings.startGoals,
        ...(shards === null ? {} : { ownership: shards.ownership }),
        txnOps: settings.stateLimits.txnOps,
        valueKb: settings.stateLimits.valueKb,
        cloudRps: settings.cloudLimits.rps,
        listEvery: Duration.seconds(Math.max(2, Duration.toSeconds(settings.cloudLimits.listLag) / 2)),
      },
      {
        membership,
        member,
        jobCache: mirror,
        state,
        cloud,
        peers,
        jobReleaser: releases,
        shards: shards?.leader ?? null,
        log,
      },
    );
    mirror.leading = () => membership.leadership !== null;
    membership.onTerm = (term) => {
      shards?.view.setTerm(term, membership.termRevision);
      member.partition.setTerm(term);
      leader.termChanged(term);
      member.termChanged();
    };
    member.isOpen = (job) => mirror.jobs.has(job);
    member.isOver = (job) => mirror.isOver(job);
    member.onDone = (job, tasks) => {
      status.remember(job, { outcome: "done", tasks });
      mirror.remove(job);
    };
    const front = new ApiServer(
      {
        bind: settings.front,
        connections: Math.floor(settings.maxConnections * FRONT),
        teams,
        valueKb: settings.stateLimits.valueKb,
        conditions: settings.stateLimits.txnOps * 4,
      },
      state,
      mirror,
      status,
      member,
      leader,
      log,
    );
    connections = () => front.connections;
    yield* servePeers(settings.peerBind, {
      sync: leader.sync,
      deliver: (delivery) => member.deliver(delivery),
      confirmTerm: (w) => ({ knowsNoNewerTerm: membership.knowsNoNewerTerm(w.termNumber) }),
      shards: shards?.handlers ?? null,
    });
    const { operatorsSocket } = settings.operator;
    // scheduling goes on without it: an operator can ask another controller
    if (operatorsSocket !== null)
      yield* serveOperators(
        operatorsSocket,
        shards === null ? shardsAreOff : (r) => shards.operator.ask(r),
      ).pipe(
        Effect.catchAll((error) =>
          Effect.sync(() => log.error({ why: error.message, operatorsSocket }, "no operators' socket")),
        ),
      );
    yield* front.serve();
    log.info({ front: settings.front, peers: settings.peerBind }, "listening");
    yield* Effect.all([membership.run, mirror.run, member.run, leader.run, shards?.run ?? Effect.void], {
      concurrency: "unbounded",
      discard: true,
    });
  });
