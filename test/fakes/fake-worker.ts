/** A fake of the agent on a machine: it runs the tasks that it is told to start, and sends heartbeats. */
import type http from "node:http";
import { FakeServer, type Json, post, readJson } from "./fake-server.js";

/** How long a task runs: for a moment, for seconds if its job's id ends in 8, and until it is halted if that ends in 9. */
const taskDurationMs = (taskId: string): number | null => {
  const job = taskId.split("/")[0]!;
  return job.endsWith("9") ? null : job.endsWith("8") ? 3000 : 50;
};

/** A machine: runs whatever it is told to, and reports. */
export class FakeWorker extends FakeServer {
  private sequence = 0;
  private fencingToken = 0;
  private controllerIndex = 0;
  private lastAnsweredAt: number | null = null;
  /** The longest time between two answered reports, and how often it was sent to another controller. */
  longestHeartbeatGapMs = 0;
  redirectCount = 0;
  private readonly tasks = new Map<string, { chore: string; try: number; status: string; cause?: string }>();
  private timer: NodeJS.Timeout | null = null;
  readonly startedTasks: string[] = [];

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

  /** Reports to one of the controllers, `NAME=ADDRESS` each or a single address; goes where it is sent, else to the next. */
  private async sendHeartbeat(): Promise<void> {
    const controllers = this.controllerAddresses()
      .split(",")
      .map((entry) => entry.split("="));
    const addr = controllers[this.controllerIndex % controllers.length]!.at(-1)!;
    // not fetch: it asks again by itself after a 421, and who comes back is taken in
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
