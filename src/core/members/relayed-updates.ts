/**
 * What a member has sent the leader through the state service since the leader last answered it directly. The leader may
 * miss such updates, or ignore them in another term, and doesn't confirm them, so they count as reported only once their
 * content has been sent again in a message that the leader answered (S3).
 */
import type { CommandResult, MemberUpdate } from "./member-update.js";

/** Older outcomes are dropped: the leader counts batches without an outcome as unknown after a while. */
const MAX_COMMAND_RESULTS = 2000;

/** The content of the relayed updates: the names of what was reported, whose present state is sent again. */
export interface RelayedContent {
  /** Machines whose heartbeats, and whose times of contact, were reported. */
  readonly heartbeatMachines: readonly string[];
  readonly contactMachines: readonly string[];
  /** Jobs whose stored finishes were reported. */
  readonly finishedJobs: readonly string[];
  readonly commandResults: readonly CommandResult[];
}

/** Collects the content of relayed updates until it is reported again. */
export class RelayedUpdates {
  private readonly heartbeatMachines = new Set<string>();
  private readonly contactMachines = new Set<string>();
  private readonly finishedJobs = new Set<string>();
  private commandResults: CommandResult[] = [];

  /** Whether nothing was relayed that has yet to be reported again. */
  get isEmpty(): boolean {
    const { heartbeatMachines, contactMachines, finishedJobs, commandResults } = this;
    return heartbeatMachines.size + contactMachines.size + finishedJobs.size + commandResults.length === 0;
  }

  /** Adds an update that was relayed. */
  add(update: MemberUpdate): void {
    for (const { heartbeat } of update.heartbeats) this.heartbeatMachines.add(heartbeat.machine);
    for (const { machine } of update.contacts) this.contactMachines.add(machine);
    for (const { job } of update.storedFinishes) this.finishedJobs.add(job);
    this.commandResults = [...this.commandResults, ...update.commandResults].slice(-MAX_COMMAND_RESULTS);
  }

  /** Returns the content and forgets it. */
  take(): RelayedContent {
    const content = {
      heartbeatMachines: [...this.heartbeatMachines],
      contactMachines: [...this.contactMachines],
      finishedJobs: [...this.finishedJobs],
      commandResults: this.commandResults,
    };
    this.clear();
    return content;
  }

  /** Forgets the content: another leader is sent everything. */
  clear(): void {
    this.heartbeatMachines.clear();
    this.contactMachines.clear();
    this.finishedJobs.clear();
    this.commandResults = [];
  }
}
