/** A fake of the agent on a machine: it runs the tasks that it is told to start, and sends heartbeats. */
import type http from "node:http";
import { FakeServer, type Json, post, readJson } from "./fake-server.js";

/** How long a task runs: for a moment, for seconds if its job's id ends in 8, and until it is halted if that ends in 9. */
const runMs = (chore: string): number | null => {
  const job = chore.split("/")[0]!;
  return job.endsWith("9") ? null : job.endsWith("8") ? 3000 : 50;
};

/** A machine: runs whatever it is told to, and reports. */
export class FakeWorker extends FakeServer {
  private tally = 0;
  private baton = 0;
  private node = 0;
  private answeredAt: number | null = null;
  /** The longest time between two answered reports, and how often it was sent to another controller. */
  longestGapMs = 0;
  redirects = 0;
  private readonly chores = new Map<string, { chore: string; try: number; status: string; cause?: string }>();
  private timer: NodeJS.Timeout | null = null;
  readonly starts: string[] = [];

  constructor(
    private readonly id: string,
    readonly spot: boolean,
    private readonly front: () => string,
    private readonly events: string[] = [],
  ) {
    super();
  }

  begin(): void {
    this.timer = setInterval(() => void this.handleReport(), 100);
  }
  override stop(): void {
    if (this.timer !== null) clearInterval(this.timer);
    super.stop();
  }

  private report(): Json {
    return {
      hearth: this.id,
      endpoint: this.addr,
      build: "small",
      district: "east",
      loaners: this.spot,
      shift: 1,
      tally: ++this.tally,
      baton: this.baton,
      recall_s: null,
      chores: [...this.chores.values()],
    };
  }

  /** Reports to one of the controllers, `NAME=ADDRESS` each or a single address; goes where it is sent, else to the next. */
  private async handleReport(): Promise<void> {
    const fronts = this.front()
      .split(",")
      .map((entry) => entry.split("="));
    const addr = fronts[this.node % fronts.length]!.at(-1)!;
    // not fetch: it asks again by itself after a 421, and who comes back is taken in
    const reply = await post(`http://${addr}/agent/beat`, JSON.stringify(this.report()));
    if (reply?.status === 200) {
      this.baton = Math.max(this.baton, Number((JSON.parse(reply.text) as Json)["baton"]));
      this.longestGapMs = Math.max(this.longestGapMs, Date.now() - (this.answeredAt ?? Date.now()));
      this.answeredAt = Date.now();
      return;
    }
    const foreman = reply?.status === 421 ? (JSON.parse(reply.text) as Json)["foreman"] : undefined;
    const named = fronts.findIndex(([name]) => name === foreman);
    if (reply?.status === 421) this.redirects++;
    this.node = named >= 0 ? named : this.node + 1;
  }

  async handle(request: http.IncomingMessage): Promise<[number, unknown]> {
    const sent = await readJson(request);
    if (request.url !== "/orders") return [200, this.report()];
    if (Number(sent["baton"]) < this.baton || sent["shift"] !== 1) return [409, this.report()];
    this.baton = Number(sent["baton"]);
    for (const o of sent["orders"] as { verb: string; chore: string; try: number }[]) {
      const key = `${o.chore}#${o.try}`;
      const chore = this.chores.get(key);
      if (o.verb === "reap") this.chores.delete(key);
      else if (o.verb === "halt" && chore?.status === "running") {
        this.events.push(`stopped ${o.chore}`);
        Object.assign(chore, { status: "ended", cause: "stopped" });
      } else if (o.verb === "start" && chore === undefined) {
        this.starts.push(o.chore);
        this.events.push(`start ${o.chore}`);
        const started: { chore: string; try: number; status: string; cause?: string } = {
          chore: o.chore,
          try: o.try,
          status: "running",
        };
        this.chores.set(key, started);
        const ms = runMs(o.chore);
        if (ms !== null)
          setTimeout(() => {
            if (started.status !== "running") return;
            this.events.push(`done ${o.chore}`);
            Object.assign(started, { status: "ended", cause: "done" });
          }, ms);
      }
    }
    return [200, this.report()];
  }
}
