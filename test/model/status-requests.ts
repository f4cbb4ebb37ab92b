/**
 * Status requests of users. Probes query and resubmit a job at all controllers right after an answer about it, and
 * requests that stay unanswered for long are found. They exercise the rules `forgotten` and `invented`.
 */

/** The answers after which users may probe a job. */
export type AnswerKind = "accepted" | "done" | "cancelled";

/** What probes need of the simulated users. */
export interface UserRequests<N> {
  readonly nodes: readonly N[];
  random(): number;
  after(ms: number, run: () => void): void;
  queryStatus(node: N, id: string): void;
  resubmitAt(node: N, id: string): void;
  cancel(id: string): void;
  count(what: string): void;
}

const PROBE_WINDOW_MS = 200;
const CANCEL_SHARE = 0.25;

/** Queries and resubmits a job at every controller right after an answer, and cancels some jobs just accepted. */
export class StatusProbes<N> {
  /** The share of answers that are followed by a probe. */
  share = 0;

  constructor(private readonly requests: UserRequests<N>) {}

  answered(id: string, kind: AnswerKind): void {
    const { requests } = this;
    if (this.share === 0 || requests.random() >= this.share) return;
    requests.count(`probes after ${kind}`);
    for (const node of requests.nodes) {
      requests.after(requests.random() * PROBE_WINDOW_MS, () => requests.queryStatus(node, id));
      requests.after(requests.random() * PROBE_WINDOW_MS, () => requests.resubmitAt(node, id));
    }
    if (kind !== "accepted" || requests.random() >= CANCEL_SHARE) return;
    requests.count("cancelled right after they were accepted");
    requests.after(requests.random() * PROBE_WINDOW_MS, () => requests.cancel(id));
  }
}

/** A job whose requests are unanswered for this long counts as forgotten if most others are answered. */
const FORGOTTEN_MS = 90_000;
/** The same once faults have stopped, whether or not others are answered. */
const FORGOTTEN_WITHOUT_FAULTS_MS = 75_000;
/** A single lost request proves nothing, so several must have failed. */
const MIN_REQUESTS = 3;

interface Unanswered {
  readonly since: number;
  requests: number;
}

/** Accepted jobs with unanswered status requests, and since when. */
export class UnansweredRequests {
  private readonly open = new Map<string, Unanswered>();
  private readonly lastAnswerAt = new Map<string, number>();

  requestSent(id: string, now: number): void {
    const earlier = this.open.get(id);
    if (earlier === undefined) this.open.set(id, { since: now, requests: 1 });
    else earlier.requests++;
  }

  requestAnswered(id: string, now: number): void {
    this.open.delete(id);
    this.lastAnswerAt.set(id, now);
  }

  isOpen(id: string): boolean {
    return this.open.has(id);
  }

  /** The jobs that count as forgotten; `faultFreeSince`: since when there are no more faults. */
  forgotten(now: number, faultFreeSince: number | null): string[] {
    const forgotten: string[] = [];
    for (const [id, { since, requests: questions }] of this.open) {
      if (questions < MIN_REQUESTS) continue;
      const isLong = now - since > FORGOTTEN_MS && this.areMostAnswered(now);
      const isLongWithoutFaults =
        faultFreeSince !== null && now - Math.max(since, faultFreeSince) > FORGOTTEN_WITHOUT_FAULTS_MS;
      if (isLong || isLongWithoutFaults) forgotten.push(id);
    }
    return forgotten;
  }

  private areMostAnswered(now: number): boolean {
    const recent = [...this.lastAnswerAt.values()].filter((at) => now - at <= FORGOTTEN_MS).length;
    const unanswered = [...this.open.values()].filter(({ since }) => now - since > FORGOTTEN_MS).length;
    return recent > unanswered;
  }
}
