/**
 * Schedulers that choose the kind of request that gets the next free slot.
 */
import type {KindState} from './kind_state.js';

/** Chooses among the kinds that have waiting requests. */
export interface KindScheduler {
  /** Called when a kind without waiting requests gets one. */
  addKind(kind: KindState): void;
  /** Returns the kind to serve next. */
  choose(kinds: Iterable<KindState>): KindState | undefined;
  /** Called when a request of a kind gets a slot. */
  recordStart(kind: KindState): void;
  /**
   * Returns the share of the slots, from 0 to 1, that a kind is guaranteed while the given kinds wait.
   */
  getShare(kind: KindState, waiting: Iterable<KindState>): number;
}

/** Serves requests in the order of arrival, regardless of their kind. */
export class ArrivalOrderScheduler implements KindScheduler {
  addKind(): void {}

  recordStart(): void {}

  choose(kinds: Iterable<KindState>): KindState | undefined {
    let best: KindState | undefined;
    let bestArrivalNumber = 0;
    for (const kind of kinds) {
      const arrivalNumber = kind.waiting.getNext('oldest')?.arrivalNumber;
      if (arrivalNumber === undefined) continue;
      if (best === undefined || arrivalNumber < bestArrivalNumber) {
        best = kind;
        bestArrivalNumber = arrivalNumber;
      }
    }
    return best;
  }

  getShare(): number {
    return 0;
  }
}

/**
 * Stride scheduler: divides slot time among waiting kinds in proportion to their weights, so that no
 * kind starves. Each priority has twice the weight of the one below.
 */
export class StrideScheduler implements KindScheduler {
  private globalPass = 0;

  addKind(kind: KindState): void {
    kind.pass = Math.max(kind.pass, this.globalPass);
  }

  choose(kinds: Iterable<KindState>): KindState | undefined {
    let best: KindState | undefined;
    for (const kind of kinds) {
      if (best === undefined || kind.pass < best.pass) best = kind;
    }
    return best;
  }

  recordStart(kind: KindState): void {
    this.globalPass = Math.max(this.globalPass, kind.pass);
    kind.pass += kind.estimate.getMeanMs() / getWeight(kind);
  }

  getShare(kind: KindState, waiting: Iterable<KindState>): number {
    let totalWeight = getWeight(kind);
    for (const other of waiting) {
      if (other !== kind) totalWeight += getWeight(other);
    }
    return getWeight(kind) / totalWeight;
  }
}

function getWeight(kind: KindState): number {
  return 2 ** kind.priority;
}
