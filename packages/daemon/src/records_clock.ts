/**
 * Remembers when this daemon first saw from which token on the records of each slice are complete.
 */
import type {System} from '@dottereldrift/core/system.js';
import type {Instant, Token} from '@dottereldrift/core/types.js';
import type {Assignment} from '@dottereldrift/ownership/types.js';

/** First sight of each beginning of records, of one service. */
export class RecordsClock {
  private generation = 0;
  private seen: ReadonlyMap<Token, Instant> = new Map();

  constructor(private readonly system: System) {}

  /** Takes note of the beginnings in an assignment and drops those that it no longer has. */
  applyAssignment(assignment: Assignment): void {
    if (assignment.generation <= this.generation) return;
    this.generation = assignment.generation;
    const now = this.system.getNow();
    const next = new Map<Token, Instant>();
    for (const {recordsSince} of assignment.slices)
      next.set(recordsSince, this.seen.get(recordsSince) ?? now);
    this.seen = next;
  }

  /** Returns when a beginning was first seen: now, when it has not been seen yet. */
  getSeenAt(recordsSince: Token): Instant {
    return this.seen.get(recordsSince) ?? this.system.getNow();
  }
}
