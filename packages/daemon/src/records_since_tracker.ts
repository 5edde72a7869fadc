/**
 * Tracks when this daemon first saw each token from which the idempotency records of a slice are complete.
 */
import type {System} from '@dottereldrift/core/system.js';
import type {Instant, Token} from '@dottereldrift/core/types.js';
import type {Assignment} from '@dottereldrift/ownership/types.js';

/** Times at which the `recordsSince` tokens of one service were first seen. */
export class RecordsSinceTracker {
  private generation = 0;
  private firstSeen: ReadonlyMap<Token, Instant> = new Map();

  constructor(private readonly system: System) {}

  /** Records the tokens in an assignment and drops those that it no longer contains. */
  applyAssignment(assignment: Assignment): void {
    if (assignment.generation <= this.generation) return;
    this.generation = assignment.generation;
    const now = this.system.getNow();
    const next = new Map<Token, Instant>();
    for (const {recordsSince} of assignment.slices)
      next.set(recordsSince, this.firstSeen.get(recordsSince) ?? now);
    this.firstSeen = next;
  }

  /** Returns when a token was first seen, or the current time if it has not been seen yet. */
  getFirstSeenAt(recordsSince: Token): Instant {
    return this.firstSeen.get(recordsSince) ?? this.system.getNow();
  }
}
