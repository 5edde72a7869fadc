/**
 * Orders in which kinds of requests are served.
 */
import type {KindState} from './kind_state.js';

/** Chooses among kinds that wait. */
export interface KindOrder {
  /** Takes note that a kind has begun to wait. */
  addKind(kind: KindState): void;
  /** Returns the kind that is served next. */
  choose(kinds: Iterable<KindState>): KindState | undefined;
  /** Takes note that a request of a kind was given a slot. */
  recordStart(kind: KindState): void;
  /** Share of the slots that a kind may count on while the kinds given wait, from 0 to 1. */
  getShare(kind: KindState, waiting: Iterable<KindState>): number;
}

/** Serves in the order of arrival, whatever the kind. */
export class ArrivalOrder implements KindOrder {
  addKind(): void {}

  recordStart(): void {}

  choose(kinds: Iterable<KindState>): KindState | undefined {
    let best: KindState | undefined;
    let bestNumber = 0;
    for (const kind of kinds) {
      const number = kind.waiting.getNext('oldest')?.number;
      if (number === undefined) continue;
      if (best === undefined || number < bestNumber) {
        best = kind;
        bestNumber = number;
      }
    }
    return best;
  }

  getShare(): number {
    return 0;
  }
}

/**
 * Divides slot time among waiting kinds by weights, each priority twice the weight of the one below,
 * so that no kind starves.
 */
export class WeightedOrder implements KindOrder {
  private position = 0;

  addKind(kind: KindState): void {
    kind.pass = Math.max(kind.pass, this.position);
  }

  choose(kinds: Iterable<KindState>): KindState | undefined {
    let best: KindState | undefined;
    for (const kind of kinds) {
      if (best === undefined || kind.pass < best.pass) best = kind;
    }
    return best;
  }

  recordStart(kind: KindState): void {
    this.position = Math.max(this.position, kind.pass);
    kind.pass += kind.estimate.getMeanMs() / getWeight(kind);
  }

  getShare(kind: KindState, waiting: Iterable<KindState>): number {
    let total = getWeight(kind);
    for (const other of waiting) {
      if (other !== kind) total += getWeight(other);
    }
    return getWeight(kind) / total;
  }
}

function getWeight(kind: KindState): number {
  return 2 ** kind.priority;
}
