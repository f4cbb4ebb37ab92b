/** Reasons for refusing or aborting a handoff, each with a sentence for operators. */
import * as Data from "effect/Data";

/** Why a handoff, or an operator's request about one, is refused or aborted. */
export type Refusal = Data.TaggedEnum<{
  /** Shards aren't in use: some member of the term doesn't support them, or the records haven't been read yet. */
  NotInForce: object;
  UnknownShard: { readonly shard: string };
  UnknownMember: { readonly member: string };
  /** The shard isn't in the epoch that the request expects. */
  WrongEpoch: { readonly shard: string; readonly epoch: number; readonly present: number };
  /** The target already owns the shard. */
  SameOwner: { readonly shard: string; readonly member: string };
  /** Another handoff of the shard is in progress. */
  InHandoff: { readonly shard: string };
  /** Neither a handoff of a shard nor a drain of a controller with this name is in progress. */
  NothingToCancel: { readonly name: string };
  /** The target is being drained. */
  TargetDraining: { readonly member: string };
  /** There is no other controller to take the member's shards. */
  NobodyLeft: { readonly member: string };
  /** A command to a machine of the shard has no answer yet and may still be executed. */
  CommandInDoubt: { readonly machine: string };
  /** A machine of the shard hasn't sent a heartbeat under its current fencing token. */
  MachineNotHeard: { readonly machine: string };
  GangAssembling: { readonly job: string };
  GangSaving: { readonly job: string };
  TargetOutsideWindow: { readonly member: string };
  /** The target can't reach the shard's workers. */
  WorkersNotHeard: { readonly member: string };
  TooManyConnections: { readonly member: string; readonly free: number; readonly needed: number };
  /** The controller that was asked to release the shard doesn't own it in that epoch. */
  NotHolder: { readonly member: string; readonly shard: string; readonly epoch: number };
  NoAnswer: { readonly member: string };
  /** The state service didn't answer the write that begins a handoff. */
  NotWritten: { readonly shard: string };
  /** A write failed, since the shard's record had changed meanwhile. */
  Overtaken: { readonly shard: string };
  /** The target didn't take the shard in time; the shard went back to its previous owner. */
  NotTaken: { readonly member: string };
  /** The term changed during the handoff. */
  TermChanged: { readonly shard: string };
  Cancelled: { readonly shard: string };
  NotLeader: { readonly member: string };
}>;
/** Constructors and matchers of `Refusal`. */
export const Refusal = Data.taggedEnum<Refusal>();

/** The sentence for each reason. */
const SENTENCES: { readonly [Tag in Refusal["_tag"]]: (refusal: Extract<Refusal, { _tag: Tag }>) => string } =
  {
    NotInForce: () => "shards are not in force: not every controller of the term uses them",
    UnknownShard: ({ shard }) => `there is no shard ${shard}`,
    UnknownMember: ({ member }) => `there is no controller ${member} in the term`,
    WrongEpoch: ({ shard, epoch, present }) => `shard ${shard} is in epoch ${present}, not ${epoch}`,
    SameOwner: ({ shard, member }) => `${member} owns shard ${shard} already`,
    InHandoff: ({ shard }) => `a handoff of shard ${shard} is under way`,
    NothingToCancel: ({ name }) => `no handoff or drain of ${name} is under way`,
    TargetDraining: ({ member }) => `${member} is being drained`,
    NobodyLeft: ({ member }) => `no other controller could take the shards of ${member}`,
    CommandInDoubt: ({ machine }) => `a command to machine ${machine} has no answer yet`,
    MachineNotHeard: ({ machine }) => `machine ${machine} has not answered under the present token yet`,
    GangAssembling: ({ job }) => `gang ${job} is being assembled on a machine of the shard`,
    GangSaving: ({ job }) => `gang ${job} is saving on a machine of the shard`,
    TargetOutsideWindow: ({ member }) => `${member} may not act at present: it is outside its fence window`,
    WorkersNotHeard: ({ member }) => `${member} does not reach the workers of the shard`,
    TooManyConnections: ({ member, free, needed }) =>
      `${member} has room for ${free} more connections, and the shard needs ${needed}`,
    NotHolder: ({ member, shard, epoch }) => `${member} does not hold shard ${shard} in epoch ${epoch}`,
    NoAnswer: ({ member }) => `${member} did not answer`,
    NotWritten: ({ shard }) =>
      `the state service did not answer the write that begins the handoff of shard ${shard}`,
    Overtaken: ({ shard }) => `the record of shard ${shard} changed meanwhile`,
    NotTaken: ({ member }) => `${member} did not take the shard in time; its earlier owner has it again`,
    TermChanged: ({ shard }) => `the term changed during the handoff of shard ${shard}`,
    Cancelled: ({ shard }) => `the handoff of shard ${shard} was cancelled`,
    NotLeader: ({ member }) => `${member} does not lead, and the leader could not be reached`,
  };
const KNOWN_TAGS: ReadonlySet<string> = new Set(Object.keys(SENTENCES));

/** One sentence for operators. */
export const describeRefusal: (refusal: Refusal) => string = Refusal.$match(SENTENCES);

/** Whether a value received from another process is a refusal that this version knows. */
export const isRefusal = (value: unknown): value is Refusal => {
  const tag = (value as { _tag?: unknown } | null)?._tag;
  return typeof tag === "string" && KNOWN_TAGS.has(tag);
};
