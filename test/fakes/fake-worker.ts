/** A fake of the agent on a machine: carries out commands, pretends to run tasks and sends heartbeats. */
import type http from "node:http";
import { FakeServer, type Json, post, readJson } from "./fake-server.js";

/** How long a task runs: 50 ms, 3 s if its job's id ends in 8, or until it is stopped (null) if the id ends in 9. */
const taskDurationMs = (taskId: string): number | null => {
  const job = taskId.split("/")[0]!;
  return job.endsWith("9") ? null : job.endsWith("8") ? 3000 : 50;
};

/** A worker that accepts every command with a valid fencing token and sends a heartbeat every 100 ms. */
export class FakeWorker extends FakeServer {
  private sequence = 0;
  private fencingToken = 0;
  private controllerIndex = 0;
  private lastAnsweredAt: number | null = null;
  /** The longest time between two heartbeats that were answered with 200. */
  longestHeartbeatGapMs = 0;
  /** How many heartbeats were answered with 421, which names another controller. */
  redirectCount = 0;
  private readonly tasks = new Map<string, { chore: string; try: number; status: string; cause?: string }>();
  private timer: NodeJS.Timeout | null = null;
  readonly startedTasks: string[] = [];
  /** The bodies of all requests with commands, as they were received. */
  readonly receivedBodies: string[] = [];

  constructor(
    private readonly id: string,
    readonly spot: boolean,
    private readonly controllerAddresses: () => string,
    private readonly taskEvents: string[] = [],
  ) {
    super();
  }

  startHeartbeats(): void {
    this.timer = setInterval(() => void this.sendHeartbeat(), 100);
  }
  override stop(): void {
    if (this.timer !== null) clearInterval(this.timer);
    super.stop();
  }

  /** Whether it has a task of this job, in any state. */
  hasTaskOf(job: string): boolean {
    return [...this.tasks.values()].some(({ chore }) => chore.startsWith(`${job}/`));
  }

  private heartbeat(): Json {
    return {
      hearth: this.id,
      endpoint: this.addr,
      build: "small",
      district: "east",
      loaners: this.spot,
      shift: 1,
      tally: ++this.sequence,
      baton: this.fencingToken,
      recall_s: null,
      chores: [...this.tasks.values()],
    };
  }

  /**
   * Sends a heartbeat to the current controller. After a 421 the controller that it names becomes the current one,
   * after another failure the next of the list, whose entries are `NAME=ADDRESS` or a single address.
   */
  private async sendHeartbeat(): Promise<void> {
    const controllers = this.controllerAddresses()
      .split(",")
      .map((entry) => entry.split("="));
    const addr = controllers[this.controllerIndex % controllers.length]!.at(-1)!;
    // Not fetch, which retries a 421 by itself: the controller would then serve the worker, as one that returns after
    // a redirect, and the worker would never change controllers.
    const reply = await post(`http://${addr}/agent/beat`, JSON.stringify(this.heartbeat()));
    if (reply?.status === 200) {
      this.fencingToken = Math.max(this.fencingToken, Number((JSON.parse(reply.text) as Json)["baton"]));
      this.longestHeartbeatGapMs = Math.max(
        this.longestHeartbeatGapMs,
        Date.now() - (this.lastAnsweredAt ?? Date.now()),
      );
      this.lastAnsweredAt = Date.now();
      return;
    }
    const redirectedTo = reply?.status === 421 ? (JSON.parse(reply.text) as Json)["foreman"] : undefined;
    const namedIndex = controllers.findIndex(([name]) => name === redirectedTo);
    if (reply?.status === 421) this.redirectCount++;
    this.controllerIndex = namedIndex >= 0 ? namedIndex : this.controllerIndex + 1;
  }

  async handle(request: http.IncomingMessage): Promise<[number, unknown]> {
    const body = await readJson(request);
    if (request.url !== "/orders") return [200, this.heartbeat()];
    this.receivedBodies.push(JSON.stringify(body));
    if (Number(body["baton"]) < this.fencingToken || body["shift"] !== 1) return [409, this.heartbeat()];
    this.fencingToken = Number(body["baton"]);
    for (const command of body["orders"] as { verb: string; chore: string; try: number }[]) {
      const key = `${command.chore}#${command.try}`;
      const task = this.tasks.get(key);
      if (command.verb === "reap") this.tasks.delete(key);
      else if (command.verb === "halt" && task?.status === "running") {
        this.taskEvents.push(`stopped ${command.chore}`);
        Object.assign(task, { status: "ended", cause: "stopped" });
      } else if (command.verb === "start" && task === undefined) {
        this.startedTasks.push(command.chore);
        this.taskEvents.push(`start ${command.chore}`);
        const startedTask: { chore: string; try: number; status: string; cause?: string } = {
          chore: command.chore,
          try: command.try,
          status: "running",
        };
        this.tasks.set(key, startedTask);
        const durationMs = taskDurationMs(command.chore);
        if (durationMs !== null)
          setTimeout(() => {
            if (startedTask.status !== "running") return;
            this.taskEvents.push(`done ${command.chore}`);
            Object.assign(startedTask, { status: "ended", cause: "done" });
          }, durationMs);
      }
    }
    return [200, this.heartbeat()];
  }
}
