/**
 * The requests of one kind that wait for a slot. Callers are served round-robin, so that many requests
 * of one caller do not delay the few of another. Every operation except `takeWhere` takes constant
 * time.
 */
import type {SlotRequest} from './types.js';

/** A request that waits for a slot. */
export interface WaitingRequest {
  readonly request: SlotRequest;
  readonly arrivedAtMs: number;
  /** Sequence number of the arrival, counted over all kinds. */
  readonly arrivalNumber: number;
}

/** Which request of a caller is taken first. */
export type ServingOrder = 'oldest' | 'newest';

interface ListNode extends WaitingRequest {
  readonly callerQueue: CallerQueue;
  previous: ListNode | undefined;
  next: ListNode | undefined;
  isQueued: boolean;
}

/** Doubly linked list of the requests of one caller, oldest first. */
interface CallerQueue {
  readonly caller: string;
  first: ListNode | undefined;
  last: ListNode | undefined;
  size: number;
}

/** Round-robin queue of the waiting requests of one kind. */
export class WaitingList {
  /** Queues of the callers with waiting requests, in round-robin order, next caller first. */
  private readonly callerQueues = new Map<string, CallerQueue>();
  private size = 0;

  /** If `isFair` is false, the requests of all callers share one queue. */
  constructor(private readonly isFair: boolean) {}

  getSize(): number {
    return this.size;
  }

  /** Returns an upper bound of the requests that are served before a new one of a caller. */
  countAhead(caller: string): number {
    if (!this.isFair) return this.size;
    const ownSize = this.callerQueues.get(caller)?.size ?? 0;
    const callerCount = this.callerQueues.size + (ownSize === 0 ? 1 : 0);
    return Math.min(this.size, (ownSize + 1) * callerCount - 1);
  }

  /** Adds a request. The returned function removes it and returns whether it was still waiting. */
  add(waiting: WaitingRequest): () => boolean {
    const callerQueue = this.getCallerQueue(
      this.isFair ? waiting.request.caller : '',
    );
    const node: ListNode = {
      ...waiting,
      callerQueue,
      previous: callerQueue.last,
      next: undefined,
      isQueued: true,
    };
    if (callerQueue.last === undefined) callerQueue.first = node;
    else callerQueue.last.next = node;
    callerQueue.last = node;
    callerQueue.size += 1;
    this.size += 1;
    return () => this.tryRemove(node);
  }

  /** Returns the next request without removing it. */
  getNext(order: ServingOrder): WaitingRequest | undefined {
    const callerQueue = this.getNextCallerQueue();
    return order === 'oldest' ? callerQueue?.first : callerQueue?.last;
  }

  /** Removes and returns the next request, and moves its caller to the end of the round. */
  take(order: ServingOrder): WaitingRequest | undefined {
    const callerQueue = this.getNextCallerQueue();
    const node = order === 'oldest' ? callerQueue?.first : callerQueue?.last;
    if (callerQueue === undefined || node === undefined) return undefined;
    this.tryRemove(node);
    if (callerQueue.size > 0) {
      this.callerQueues.delete(callerQueue.caller);
      this.callerQueues.set(callerQueue.caller, callerQueue);
    }
    return node;
  }

  /** Removes and returns the requests that match a predicate. */
  takeWhere(
    isMatch: (waiting: WaitingRequest) => boolean,
  ): readonly WaitingRequest[] {
    const removed: WaitingRequest[] = [];
    for (const callerQueue of [...this.callerQueues.values()]) {
      for (let node = callerQueue.first; node !== undefined; node = node.next) {
        if (isMatch(node)) removed.push(node);
      }
    }
    for (const node of removed) this.tryRemove(node as ListNode);
    return removed;
  }

  private getCallerQueue(caller: string): CallerQueue {
    const existing = this.callerQueues.get(caller);
    if (existing !== undefined) return existing;
    const callerQueue = {caller, first: undefined, last: undefined, size: 0};
    this.callerQueues.set(caller, callerQueue);
    return callerQueue;
  }

  private getNextCallerQueue(): CallerQueue | undefined {
    for (const callerQueue of this.callerQueues.values()) return callerQueue;
    return undefined;
  }

  private tryRemove(node: ListNode): boolean {
    if (!node.isQueued) return false;
    const {callerQueue, previous, next} = node;
    node.isQueued = false;
    if (previous === undefined) callerQueue.first = next;
    else previous.next = next;
    if (next === undefined) callerQueue.last = previous;
    else next.previous = previous;
    callerQueue.size -= 1;
    this.size -= 1;
    if (callerQueue.size === 0) this.callerQueues.delete(callerQueue.caller);
    return true;
  }
}
