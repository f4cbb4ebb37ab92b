/** Answers to HTTP requests of users, workers and health checks. */

/** The HTTP status and the JSON body of an answer. */
export interface Answer {
  readonly status: number;
  readonly body: string;
}

/** An answer whose body is JSON already. */
export const answer = (status: number, body: string): Answer => ({ status, body });

/** An answer with the reason of a failure in the `error` field of its body. */
export const refusal = (status: number, reason: string): Answer => ({
  status,
  body: JSON.stringify({ error: reason }),
});

/** A 503 answer: nothing was decided, and the client should send the request again later. */
export const retryLater = (reason: string): Answer => refusal(503, reason);
