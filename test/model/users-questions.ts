/**
 * Users who look closely: right after an answer about a job they ask all nodes and repeat the submission, and users whose
 * questions fail for long. Both watch the rules about answers: `forgotten` and `invented`.
 */

/** The moments after which users look closely. */
export type AnsweredAs = "accepted" | "done" | "cancelled";

/** What close looks need of the users' side of the model. */
export interface UserRequests<N> {
  readonly nodes: readonly N[];
  draw(): number;
  after(ms: number, run: () => void): void;
  ask(node: N, id: string): void;
  repeatAt(node: N, id: string): void;
  cancel(id: string): void;
  count(what: string): void;
}

const LOOK_WITHIN_MS = 200;
const CANCELS_AT_ONCE = 0.25;

/** Right after an answer: every node is asked, and gets the submission once more; some jobs are cancelled at once. */
export class CloseLooks<N> {
  /** The share of answers that are followed by a close look. */
  share = 0;

  constructor(private readonly requests: UserRequests<N>) {}

  answered(id: string, what: AnsweredAs): void {
    const { requests } = this;
    if (this.share === 0 || requests.draw() >= this.share) return;
    requests.count(`close looks after ${what}`);
    for (const node of requests.nodes) {
      requests.after(requests.draw() * LOOK_WITHIN_MS, () => requests.ask(node, id));
      requests.after(requests.draw() * LOOK_WITHIN_MS, () => requests.repeatAt(node, id));
    }
    if (what !== "accepted" || requests.draw() >= CANCELS_AT_ONCE) return;
    requests.count("cancelled right after they were accepted");
    requests.after(requests.draw() * LOOK_WITHIN_MS, () => requests.cancel(id));
  }
}

/** A job whose questions fail for so long counts as forgotten while most others are answered. */
const FORGOTTEN_MS = 90_000;
/** The same once all troubles are over, however others fare. */
const FORGOTTEN_IN_CALM_MS = 75_000;
/** One failed question long ago is no sign: users must have asked again. */
const FEWEST_QUESTIONS = 3;

interface Unanswered {
  readonly since: number;
  questions: number;
}

/** Which accepted jobs are asked about in vain, and since when. */
export class UnansweredQuestions {
  private readonly open = new Map<string, Unanswered>();
  private readonly answered = new Map<string, number>();

  asked(id: string, now: number): void {
    const before = this.open.get(id);
    if (before === undefined) this.open.set(id, { since: now, questions: 1 });
    else before.questions++;
  }

  answeredNow(id: string, now: number): void {
    this.open.delete(id);
    this.answered.set(id, now);
  }

  isOpen(id: string): boolean {
    return this.open.has(id);
  }

  /** The jobs that count as forgotten; `calmSince`: since when there are no more troubles. */
  forgotten(now: number, calmSince: number | null): string[] {
    const out: string[] = [];
    for (const [id, { since, questions }] of this.open) {
      if (questions < FEWEST_QUESTIONS) continue;
      const isLong = now - since > FORGOTTEN_MS && this.areMostAnswered(now);
      const isLongInCalm = calmSince !== null && now - Math.max(since, calmSince) > FORGOTTEN_IN_CALM_MS;
      if (isLong || isLongInCalm) out.push(id);
    }
    return out;
  }

  private areMostAnswered(now: number): boolean {
    const recent = [...this.answered.values()].filter((at) => now - at <= FORGOTTEN_MS).length;
    const inVain = [...this.open.values()].filter(({ since }) => now - since > FORGOTTEN_MS).length;
    return recent > inVain;
  }
}
