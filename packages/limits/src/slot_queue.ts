/**
 * The requests of all kinds that wait for a slot of one server, with their number and bytes.
 */
import type {KindState} from './kind_state.js';
import type {SlotRequest} from './types.js';
import type {ServingOrder, Waiting} from './waiting_list.js';

/** What decides which requests a full queue drops: new work before nested, then the lower priority. */
type Rank = Pick<KindState, 'isNested' | 'priority'>;

/** Waiting requests of all kinds. */
export class SlotQueue {
  private readonly kinds = new Set<KindState>();
  private size = 0;
  private bytes = 0;
  private arrivals = 0;

  /** Requests that wait. */
  getSize(): number {
    return this.size;
  }

  /** Bytes of the requests that wait. */
  getBytes(): number {
    return this.bytes;
  }

  /** Kinds of which requests wait. */
  getKinds(): ReadonlySet<KindState> {
    return this.kinds;
  }

  /** Adds a request; the returned function removes it if it still waits. */
  add(request: SlotRequest, kind: KindState, nowMs: number): () => void {
    this.kinds.add(kind);
    this.arrivals += 1;
    this.size += 1;
    this.bytes += request.bytes;
    const remove = kind.waiting.add({
      request,
      arrivedAtMs: nowMs,
      number: this.arrivals,
    });
    return () => {
      if (remove()) this.recordRemoval(kind, request);
    };
  }

  /** Removes and returns the next request of a kind. */
  take(kind: KindState, order: ServingOrder): Waiting | undefined {
    const waiting = kind.waiting.take(order);
    if (waiting !== undefined) this.recordRemoval(kind, waiting.request);
    return waiting;
  }

  /** Removes and returns the newest request of the kind of lowest rank, if it is below the one given. */
  takeVictim(claimant: Rank): Waiting | undefined {
    let lowest: KindState | undefined;
    for (const kind of this.kinds) {
      if (lowest === undefined || isBelow(kind, lowest)) lowest = kind;
    }
    if (lowest === undefined || !isBelow(lowest, claimant)) return undefined;
    return this.take(lowest, 'newest');
  }

  /** Removes and returns the requests that pass the test. */
  takeWhere(
    isUnwanted: (waiting: Waiting, kind: KindState) => boolean,
  ): readonly Waiting[] {
    return [...this.kinds].flatMap(kind => {
      const removed = kind.waiting.takeWhere(waiting =>
        isUnwanted(waiting, kind),
      );
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

function isBelow(one: Rank, other: Rank): boolean {
  return one.isNested === other.isNested
    ? one.priority < other.priority
    : other.isNested;
}
