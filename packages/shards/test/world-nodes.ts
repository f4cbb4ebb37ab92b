/** The simulated controllers: what a process knows, and until when it may act. Times are in virtual milliseconds. */
import { Assignment, Coordinator, OwnerView } from "../src/index.js";
import type { Process } from "./world-network.js";

/** The number of fencing tokens per term: within a term, the leader raises each machine's token step by step. */
const FENCING_TOKENS_PER_TERM = 1000;

/** What a leader knows of a machine. */
export interface MachineView {
  /** The highest fencing token that the worker is known to have seen. */
  seenFencingToken: number;
  /** How often the leader has raised the machine's fencing token in this term. */
  fencingTokenStep: number;
  /** Commands without an answer. */
  unansweredCommands: { readonly fencingToken: number; readonly sentAt: number }[];
}

/** One process of a controller. */
export class Node {
  alive = true;
  incarnation = 0;
  knowsShards = true;
  ownerView: OwnerView;
  /** The end of its fencing window. */
  windowEnd = -1;
  leaseUntil = -1;
  nextRenew = 0;
  nextRead = 0;
  termLearnedAt = 0;
  frozenUntil = 0;
  stateRefusedUntil = 0;
  /** Until then its writes are executed, but the answers to them are lost. */
  answersLostUntil = 0;
  nextRepair = 0;
  coordinator: Coordinator | null = null;
  machines = new Map<string, MachineView>();
  constructor(
    readonly name: string,
    readonly zone: string,
  ) {
    this.ownerView = OwnerView.create(name, Assignment.empty);
  }
  /** An independent copy in the same state. */
  copy(): Node {
    const copy = Object.assign(new Node(this.name, this.zone), this);
    copy.coordinator = this.coordinator?.copy() ?? null;
    copy.machines = new Map(
      [...this.machines].map(([id, view]) => [
        id,
        { ...view, unansweredCommands: [...view.unansweredCommands] },
      ]),
    );
    return copy;
  }
  get process(): Process {
    return { node: this.name, incarnation: this.incarnation };
  }
  get assignment(): Assignment {
    return this.ownerView.assignment;
  }

  /** Whether the process is a member of the latest term that it knows. */
  get isMember(): boolean {
    const members = this.assignment.term?.members ?? [];
    return members.some((member) => member.name === this.name && member.incarnation === this.incarnation);
  }

  /** The coordinator of a leader; throws if the process doesn't lead. */
  get leadingCoordinator(): Coordinator {
    if (this.coordinator === null) throw new Error(`${this.name} does not lead`);
    return this.coordinator;
  }

  /** What this process knows of a machine; a new machine gets an empty view. */
  viewOf(machine: string): MachineView {
    const view = this.machines.get(machine) ?? {
      seenFencingToken: 0,
      fencingTokenStep: 0,
      unansweredCommands: [],
    };
    this.machines.set(machine, view);
    return view;
  }

  /** The lowest fencing token of the term that the process knows. */
  get firstFencingToken(): number {
    return (this.assignment.term?.number ?? 0) * FENCING_TOKENS_PER_TERM;
  }

  /** The fencing token with which the process sends to a machine now. */
  fencingTokenOf(machine: string): number {
    return this.firstFencingToken + this.viewOf(machine).fencingTokenStep;
  }
}
