/**
 * A sketch of the positions that are requested most: the space-saving algorithm of Metwally, Agrawal
 * and El Abbadi with counts that decay over time. Memory is bounded by the number of counters, and
 * one request costs a look-up and a few steps in a heap.
 */
import {assertDefined} from '@dottereldrift/core/assert.js';

/** A position and how much of its weight the sketch vouches for. */
export interface HotPosition {
  readonly position: number;
  /** Lower bound of the weight, in the unit of the weights added. */
  readonly weight: number;
}

interface Counter {
  position: number;
  weight: number;
  /** Weight that may belong to positions that the counter stood for earlier. */
  error: number;
  heapIndex: number;
}

/** Counts the heaviest positions with a fixed number of counters. */
export class HotPositions {
  private readonly counters = new Map<number, Counter>();
  /** Min-heap by weight, so that the lightest counter is at hand for reuse. */
  private readonly heap: Counter[] = [];

  constructor(private readonly capacity: number) {}

  /** Adds weight to a position. */
  addWeight(position: number, weight: number): void {
    const present = this.counters.get(position);
    if (present !== undefined) {
      present.weight += weight;
      this.shiftDown(present);
      return;
    }
    if (this.heap.length < this.capacity) this.addCounter(position, weight);
    else this.takeLightest(position, weight);
  }

  /** Multiplies every weight, to keep numbers in range. */
  applyFactor(factor: number): void {
    for (const counter of this.heap) {
      counter.weight *= factor;
      counter.error *= factor;
    }
  }

  /** Returns the heaviest positions whose lower bound reaches a weight, heaviest first. */
  listHottest(limit: number, minWeight: number): readonly HotPosition[] {
    return this.heap
      .map(({position, weight, error}) => ({position, weight: weight - error}))
      .filter(hot => hot.weight >= minWeight)
      .sort((a, b) => b.weight - a.weight || a.position - b.position)
      .slice(0, limit);
  }

  private addCounter(position: number, weight: number): void {
    const counter = {position, weight, error: 0, heapIndex: this.heap.length};
    this.counters.set(position, counter);
    this.heap.push(counter);
    this.shiftUp(counter);
  }

  private takeLightest(position: number, weight: number): void {
    const lightest = assertDefined(this.heap[0], 'The heap is full.');
    this.counters.delete(lightest.position);
    lightest.position = position;
    lightest.error = lightest.weight;
    lightest.weight += weight;
    this.counters.set(position, lightest);
    this.shiftDown(lightest);
  }

  private shiftUp(counter: Counter): void {
    for (;;) {
      const parent = this.heap[(counter.heapIndex - 1) >> 1];
      if (counter.heapIndex === 0 || parent === undefined) return;
      if (parent.weight <= counter.weight) return;
      this.putInOrder(parent, counter);
    }
  }

  private shiftDown(counter: Counter): void {
    for (;;) {
      const left = this.heap[2 * counter.heapIndex + 1];
      const right = this.heap[2 * counter.heapIndex + 2];
      if (left === undefined) return;
      const lighter =
        right !== undefined && right.weight < left.weight ? right : left;
      if (lighter.weight >= counter.weight) return;
      this.putInOrder(counter, lighter);
    }
  }

  /** Exchanges the places of two counters in the heap. */
  private putInOrder(a: Counter, b: Counter): void {
    const index = a.heapIndex;
    this.heap[b.heapIndex] = a;
    this.heap[index] = b;
    a.heapIndex = b.heapIndex;
    b.heapIndex = index;
  }
}
