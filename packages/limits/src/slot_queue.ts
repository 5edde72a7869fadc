/**
 * The requests of all kinds that wait for a slot of one server, with their total number and size.
 */
import type {KindState} from './kind_state.js';
import type {SlotRequest} from './types.js';
import type {ServingOrder, WaitingRequest} from './waiting_list.js';

/** Eviction rank: a full queue drops new work before nested requests, then lower priorities first. */
type EvictionRank = Pick<KindState, 'isNested' | 'priority'>;

/** Queue over the waiting lists of all kinds. */
export class SlotQueue {
  private readonly kinds = new Set<KindState>();
  private size = 0;
  private bytes = 0;
  private arrivalCount = 0;

  /** Returns the number of waiting requests. */
  getSize(): number {
    return this.size;
  }

  /** Returns the bytes held by waiting requests. */
  getBytes(): number {
    return this.bytes;
  }

  /** Returns the kinds that have waiting requests. */
  getKinds(): ReadonlySet<KindState> {
    return this.kinds;
  }

  /** Adds a request. The returned function removes it if it still waits. */
  add(request: SlotRequest, kind: KindState, nowMs: number): () => void {
    this.kinds.add(kind);
    this.arrivalCount += 1;
    this.size += 1;
    this.bytes += request.bytes;
    const remove = kind.waiting.add({
      request,
      arrivedAtMs: nowMs,
      arrivalNumber: this.arrivalCount,
    });
    return () => {
      if (remove()) this.recordRemoval(kind, request);
    };
  }

  /** Removes and returns the next request of a kind. */
  take(kind: KindState, order: ServingOrder): WaitingRequest | undefined {
    const waiting = kind.waiting.take(order);
    if (waiting !== undefined) this.recordRemoval(kind, waiting.request);
    return waiting;
  }

  /** Removes and returns the newest request of the lowest-ranked kind, if that ranks below `claimant`. */
  takeVictim(claimant: EvictionRank): WaitingRequest | undefined {
    let lowest: KindState | undefined;
    for (const kind of this.kinds) {
      if (lowest === undefined || isLowerRanked(kind, lowest)) lowest = kind;
    }
    if (lowest === undefined || !isLowerRanked(lowest, claimant))
      return undefined;
    return this.take(lowest, 'newest');
  }

  /** Removes and returns the requests that match a predicate. */
  takeWhere(
    isMatch: (waiting: WaitingRequest, kind: KindState) => boolean,
  ): readonly WaitingRequest[] {
    return [...this.kinds].flatMap(kind => {
      const removed = kind.waiting.takeWhere(waiting => isMatch(waiting, kind));
      for (const {request} of removed) this.recordRemoval(kind, request);
      return removed;
    });
  }

  private recordRemoval(kind: KindState, request: SlotRequest): void {
    this.size -= 1;
    this.bytes -= request.bytes;
    if (kind.waiting.getSize() === 0) this.kinds.delete(kind);
  }
}

function isLowerRanked(one: EvictionRank, other: EvictionRank): boolean {
  return one.isNested === other.isNested
    ? one.priority < other.priority
    : other.isNested;
}
