/**
 * The requests of one kind that wait for a slot. Callers take turns, so that one caller's many requests
 * do not delay another's few. Every operation but `takeWhere` takes constant time.
 */
import type {SlotRequest} from './types.js';

/** A request that waits. */
export interface Waiting {
  readonly request: SlotRequest;
  readonly arrivedAtMs: number;
  /** Order of arrival among all kinds. */
  readonly number: number;
}

/** Which of a caller's requests is served first. */
export type ServingOrder = 'oldest' | 'newest';

interface Node extends Waiting {
  readonly turn: Turn;
  previous: Node | undefined;
  next: Node | undefined;
  isQueued: boolean;
}

/** Requests of one caller, oldest first. */
interface Turn {
  readonly caller: string;
  first: Node | undefined;
  last: Node | undefined;
  size: number;
}

/** Waiting requests of one kind. */
export class WaitingList {
  /** Callers with waiting requests; the one whose turn is next comes first. */
  private readonly turns = new Map<string, Turn>();
  private size = 0;

  /** `isFair` false puts all requests into one order, whoever asks. */
  constructor(private readonly isFair: boolean) {}

  getSize(): number {
    return this.size;
  }

  /** Requests that would be served before the next one of a caller. */
  countAhead(caller: string): number {
    if (!this.isFair) return this.size;
    const own = this.turns.get(caller)?.size ?? 0;
    const callers = this.turns.size + (own === 0 ? 1 : 0);
    return Math.min(this.size, (own + 1) * callers - 1);
  }

  /** Adds a request; the returned function removes it, and tells whether it still waited. */
  add(waiting: Waiting): () => boolean {
    const turn = this.getTurn(this.isFair ? waiting.request.caller : '');
    const node: Node = {
      ...waiting,
      turn,
      previous: turn.last,
      next: undefined,
      isQueued: true,
    };
    if (turn.last === undefined) turn.first = node;
    else turn.last.next = node;
    turn.last = node;
    turn.size += 1;
    this.size += 1;
    return () => this.tryRemove(node);
  }

  /** Returns the request whose turn is next. */
  getNext(order: ServingOrder): Waiting | undefined {
    const turn = this.getNextTurn();
    return order === 'oldest' ? turn?.first : turn?.last;
  }

  /** Removes and returns the request whose turn is next, and ends the turn of its caller. */
  take(order: ServingOrder): Waiting | undefined {
    const turn = this.getNextTurn();
    const node = order === 'oldest' ? turn?.first : turn?.last;
    if (turn === undefined || node === undefined) return undefined;
    this.tryRemove(node);
    if (turn.size > 0) {
      this.turns.delete(turn.caller);
      this.turns.set(turn.caller, turn);
    }
    return node;
  }

  /** Removes and returns the requests that pass the test. */
  takeWhere(isUnwanted: (waiting: Waiting) => boolean): readonly Waiting[] {
    const removed: Waiting[] = [];
    for (const turn of [...this.turns.values()]) {
      for (let node = turn.first; node !== undefined; node = node.next) {
        if (isUnwanted(node)) removed.push(node);
      }
    }
    for (const node of removed) this.tryRemove(node as Node);
    return removed;
  }

  private getTurn(caller: string): Turn {
    const present = this.turns.get(caller);
    if (present !== undefined) return present;
    const turn = {caller, first: undefined, last: undefined, size: 0};
    this.turns.set(caller, turn);
    return turn;
  }

  private getNextTurn(): Turn | undefined {
    for (const turn of this.turns.values()) return turn;
    return undefined;
  }

  private tryRemove(node: Node): boolean {
    if (!node.isQueued) return false;
    const {turn, previous, next} = node;
    node.isQueued = false;
    if (previous === undefined) turn.first = next;
    else previous.next = next;
    if (next === undefined) turn.last = previous;
    else next.previous = previous;
    turn.size -= 1;
    this.size -= 1;
    if (turn.size === 0) this.turns.delete(turn.caller);
    return true;
  }
}
