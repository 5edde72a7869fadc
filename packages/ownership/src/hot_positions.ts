/**
 * Tracks the most requested ring positions with the space-saving algorithm of Metwally, Agrawal and
 * El Abbadi, using weights that decay over time. Memory is bounded by the number of counters; a request
 * costs one map look-up and O(log n) heap steps.
 */
import {assertDefined} from '@dottereldrift/core/assert.js';

/** A frequently requested position and its guaranteed weight. */
export interface HeavyHitter {
  readonly position: number;
  /** Lower bound of the weight, in the unit of the added weights. */
  readonly weight: number;
}

interface Counter {
  position: number;
  weight: number;
  /** Upper bound of the weight inherited from positions that this counter tracked before. */
  error: number;
  heapIndex: number;
}

/** Counts the heaviest positions with a fixed number of counters (space-saving sketch). */
export class HeavyHitterSketch {
  /** Keyed by the position as a signed 32-bit integer, which a Map stores without allocating. */
  private readonly counters = new Map<number, Counter>();
  /** Min-heap by weight; the root is the counter to reuse next. */
  private readonly heap: Counter[] = [];

  constructor(private readonly capacity: number) {}

  /** Adds weight to a position. */
  addWeight(position: number, weight: number): void {
    const counter = this.counters.get(position | 0);
    if (counter !== undefined) {
      counter.weight += weight;
      this.siftDown(counter);
      return;
    }
    if (this.heap.length < this.capacity) this.addCounter(position, weight);
    else this.replaceLightest(position, weight);
  }

  /** Scales every weight, which keeps growing weights within range. */
  applyFactor(factor: number): void {
    for (const counter of this.heap) {
      counter.weight *= factor;
      counter.error *= factor;
    }
  }

  /** Returns the positions whose lower bound is at least `minWeight`, heaviest first. */
  listHeaviest(limit: number, minWeight: number): readonly HeavyHitter[] {
    return this.heap
      .map(({position, weight, error}) => ({position, weight: weight - error}))
      .filter(hot => hot.weight >= minWeight)
      .sort((a, b) => b.weight - a.weight || a.position - b.position)
      .slice(0, limit);
  }

  private addCounter(position: number, weight: number): void {
    const counter = {position, weight, error: 0, heapIndex: this.heap.length};
    this.counters.set(position | 0, counter);
    this.heap.push(counter);
    this.siftUp(counter);
  }

  private replaceLightest(position: number, weight: number): void {
    const lightest = assertDefined(this.heap[0], 'The heap is full.');
    this.counters.delete(lightest.position | 0);
    lightest.position = position;
    lightest.error = lightest.weight;
    lightest.weight += weight;
    this.counters.set(position | 0, lightest);
    this.siftDown(lightest);
  }

  private siftUp(counter: Counter): void {
    for (;;) {
      const parent = this.heap[(counter.heapIndex - 1) >> 1];
      if (counter.heapIndex === 0 || parent === undefined) return;
      if (parent.weight <= counter.weight) return;
      this.swap(parent, counter);
    }
  }

  private siftDown(counter: Counter): void {
    for (;;) {
      const left = this.heap[2 * counter.heapIndex + 1];
      const right = this.heap[2 * counter.heapIndex + 2];
      if (left === undefined) return;
      const lighter =
        right !== undefined && right.weight < left.weight ? right : left;
      if (lighter.weight >= counter.weight) return;
      this.swap(counter, lighter);
    }
  }

  /** Swaps two counters in the heap. */
  private swap(a: Counter, b: Counter): void {
    const index = a.heapIndex;
    this.heap[b.heapIndex] = a;
    this.heap[index] = b;
    a.heapIndex = b.heapIndex;
    b.heapIndex = index;
  }
}
