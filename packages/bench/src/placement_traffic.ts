/**
 * Seeded traffic over keys for the measurement of placement: Zipf-distributed, with the hottest keys
 * replaced by others every few minutes.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import {hashKey} from '@dottereldrift/core/ring_hash.js';

/** Number of hottest keys that change together. */
export const HOT_KEYS = 16;

/** Keys and how often each is requested. */
export class KeyTraffic {
  /** Ring position of each key. */
  readonly positions: Uint32Array;
  /** Share of the requests that each rank gets. */
  private readonly shares: Float64Array;
  private readonly sums: Float64Array;
  private readonly keyOfRank: Uint32Array;
  private readonly random: () => number;

  constructor(keys: number, exponent: number, seed: number) {
    const generator = xoroshiro128plus(seed);
    this.random = () => uniformFloat64(generator);
    this.positions = Uint32Array.from({length: keys}, (_, key) =>
      hashKey(`key-${key}`),
    );
    this.shares = Float64Array.from(
      {length: keys},
      (_, rank) => (rank + 1) ** -exponent,
    );
    const total = this.shares.reduce((sum, share) => sum + share, 0);
    this.sums = new Float64Array(keys);
    let sum = 0;
    for (let rank = 0; rank < keys; rank++) {
      this.shares[rank] = (this.shares[rank] ?? 0) / total;
      sum += this.shares[rank] ?? 0;
      this.sums[rank] = sum;
    }
    this.keyOfRank = Uint32Array.from({length: keys}, (_, rank) => rank);
    for (let rank = keys - 1; rank > 0; rank--)
      this.putInOrder(rank, Math.floor(this.random() * (rank + 1)));
  }

  /** Share of the requests that go to the hottest key. */
  getHottestShare(): number {
    return this.shares[0] ?? 0;
  }

  /** Makes other keys the hottest. */
  moveHottest(): void {
    const {length} = this.keyOfRank;
    for (let rank = 0; rank < HOT_KEYS; rank++) {
      const other = HOT_KEYS + Math.floor(this.random() * (length - HOT_KEYS));
      this.putInOrder(rank, other);
    }
  }

  /** Draws the key of a request. */
  drawKey(): number {
    const draw = this.random();
    let low = 0;
    let high = this.sums.length - 1;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((this.sums[middle] ?? 1) < draw) low = middle + 1;
      else high = middle;
    }
    return this.keyOfRank[low] ?? 0;
  }

  /** Calls back with each key and its share of the requests. */
  visitKeys(visit: (key: number, share: number) => void): void {
    for (let rank = 0; rank < this.keyOfRank.length; rank++)
      visit(this.keyOfRank[rank] ?? 0, this.shares[rank] ?? 0);
  }

  private putInOrder(a: number, b: number): void {
    const key = this.keyOfRank[a] ?? 0;
    this.keyOfRank[a] = this.keyOfRank[b] ?? 0;
    this.keyOfRank[b] = key;
  }
}
