/**
 * Shared state behind a short lock. A section is a plain synchronous function: in this single-threaded process
 * nothing else runs until it returns, and being synchronous it can't be held over I/O. A semaphore (effect's)
 * would add a queue for no gain on a quarter of a core; see docs/design.md.
 */

/** A state that is reached only in sections. */
export class Locked<S> {
  constructor(private state: S) {}

  /** Reads or changes the state in one section. */
  with<A>(section: (state: S) => A): A {
    return section(this.state);
  }
}
