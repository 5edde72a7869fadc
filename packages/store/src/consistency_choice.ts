/**
 * Chooses how current reads of the store must be. Serializable reads are cheaper and come from copies of the store.
 * When the store drops its history, the copies may be behind by seconds: a reader that goes on from one does not
 * advance until the copy has caught up, because the changes in between are in no history any more.
 */
import type {System} from '@dottereldrift/core/system.js';

import type {ReadConsistency} from './types.js';

/** Time after a loss of history for which copies are not trusted: several times the delay that a copy may have. */
const COPY_DISTRUST_MS = 30_000;

/** The consistency of the reads of one reader. */
export class ConsistencyChoice {
  private distrustUntilMs = -Infinity;

  constructor(private readonly system: System) {}

  /** Records that the store no longer has the history after a revision that was read. */
  recordReset(): void {
    this.distrustUntilMs = this.system.getNow().monotonicMs + COPY_DISTRUST_MS;
  }

  /** Returns the preferred consistency, or linearizable while copies may be behind. */
  choose(preferred: ReadConsistency): ReadConsistency {
    const nowMs = this.system.getNow().monotonicMs;
    return nowMs < this.distrustUntilMs ? 'linearizable' : preferred;
  }
}
