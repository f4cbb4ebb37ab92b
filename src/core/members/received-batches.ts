/**
 * Recognises copies of the leader's messages with commands. A batch that a member hadn't sent, or whose worker it couldn't
 * reach, is reported as not executed, and the leader starts its tasks elsewhere (S4). If a copy of the message arrived
 * later and its batch was sent then, the tasks would start a second time. So each batch is handled only once.
 */

/** The batches that one process has received from leaders. Batches for one machine are numbered upwards, in all terms. */
export class ReceivedBatches {
  /** The latest batch for each machine; the machine that was sent commands longest ago comes first. */
  private readonly latestByMachine = new Map<string, number>();
  /** The highest number among the batches of the machines that are no longer remembered. */
  private highestForgotten = 0;

  /** `maxMachines`: how many machines are remembered. */
  constructor(private readonly maxMachines: number) {}

  /** Records a batch; returns false if it, or a later one for the same machine, was received before. */
  receive(machine: string, batchId: number): boolean {
    if (batchId <= (this.latestByMachine.get(machine) ?? this.highestForgotten)) return false;
    this.latestByMachine.delete(machine);
    this.latestByMachine.set(machine, batchId);
    this.forgetOldest();
    return true;
  }

  private forgetOldest(): void {
    if (this.latestByMachine.size <= this.maxMachines) return;
    const [oldest] = this.latestByMachine;
    if (oldest === undefined) return;
    const [machine, batchId] = oldest;
    this.latestByMachine.delete(machine);
    this.highestForgotten = Math.max(this.highestForgotten, batchId);
  }
}
