/** Answers to users and workers, before they are sent. */

/** The status and the JSON body of an answer. */
export interface Answer {
  readonly status: number;
  readonly body: string;
}

/** An answer with a body that a codec wrote. */
export const answer = (status: number, body: string): Answer => ({ status, body });

/** An answer that says in its body what is wrong. */
export const refusal = (status: number, reason: string): Answer => ({
  status,
  body: JSON.stringify({ error: reason }),
});

/** 503: nothing is decided, and the user or worker is to come back. */
export const retryLater = (reason: string): Answer => refusal(503, reason);
