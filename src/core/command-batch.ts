/** The orders that one step decides on, by machine. */
import * as Duration from "effect/Duration";
import type { Hold } from "./cluster.js";
import type { Order } from "./records.js";

export class CommandBatch {
  readonly orders = new Map<string, Order[]>();
  /** What can wait until something else goes to the same machine. */
  readonly asides = new Map<string, Order[]>();

  /** Adds a command for a machine. */
  push(machine: string, order: Order): void {
    add(this.orders, machine, order);
  }

  /** Adds all that was decided on here to `other`, in order. */
  moveTo(other: CommandBatch): void {
    for (const [machine, orders] of this.orders) for (const order of orders) other.push(machine, order);
  }

  /** Goes along with the machine's next orders; `due`: goes even without any. */
  forget(hold: Hold, due: boolean): void {
    const { job, index, attempt } = hold;
    add(due ? this.orders : this.asides, hold.machine, { op: "forget", job, index, attempt, graceS: 0 });
  }

  /** Tells a worker to start an attempt of a task; its hold is there already (S4). */
  start(machine: string, job: string, index: number, attempt: number): void {
    this.push(machine, { op: "start", job, index, attempt, graceS: 0 });
  }

  /** Tells a task to stop, with the time that it needs to save. */
  stop(hold: Hold, graceS = hold.spec === null ? 0 : Duration.toSeconds(hold.spec.save)): void {
    hold.stopping = true;
    const { job, index, attempt } = hold;
    this.push(hold.machine, { op: "stop", job, index, attempt, graceS });
  }

  /** A machine's orders, with what was waiting for them put first. */
  take(machine: string): Order[] | null {
    const orders = this.orders.get(machine);
    if (orders === undefined) return null;
    const aside = this.asides.get(machine);
    return aside === undefined ? orders : [...aside, ...orders];
  }
}

const add = (orders: Map<string, Order[]>, machine: string, order: Order): void => {
  const list = orders.get(machine);
  if (list === undefined) orders.set(machine, [order]);
  else list.push(order);
};
