/**
 * Mutual exclusion for shared state. A critical section is a plain synchronous function: in this single-threaded
 * process nothing else runs until it returns, and it can't extend over I/O. Effect's semaphore would add a queue
 * without any benefit on a quarter of a core; see docs/design.md.
 */

/** A state that is accessible only in critical sections. */
export class Locked<S> {
  constructor(private state: S) {}

  /** Runs a critical section, which may read and change the state. */
  with<A>(section: (state: S) => A): A {
    return section(this.state);
  }
}
