/**
 * Generates seeded, Zipf-distributed traffic over keys, in which the hottest keys can be replaced during a
 * run.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import {hashKey} from '@dottereldrift/core/ring_hash.js';

/** Number of hottest keys that are replaced at a time. */
export const HOT_KEY_COUNT = 16;

/** Keys with their ring positions and request frequencies. */
export class KeyTraffic {
  /** Ring position of each key. */
  readonly positions: Uint32Array;
  /** Share of the requests for the key of each popularity rank. */
  private readonly shares: Float64Array;
  private readonly cumulativeShares: Float64Array;
  private readonly keyByRank: Uint32Array;
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
    this.cumulativeShares = new Float64Array(keys);
    let sum = 0;
    for (let rank = 0; rank < keys; rank++) {
      this.shares[rank] = (this.shares[rank] ?? 0) / total;
      sum += this.shares[rank] ?? 0;
      this.cumulativeShares[rank] = sum;
    }
    this.keyByRank = Uint32Array.from({length: keys}, (_, rank) => rank);
    for (let rank = keys - 1; rank > 0; rank--)
      this.swapRanks(rank, Math.floor(this.random() * (rank + 1)));
  }

  /** Returns the share of the requests that go to the hottest key. */
  getHottestShare(): number {
    return this.shares[0] ?? 0;
  }

  /** Replaces the hottest keys with randomly drawn ones. */
  drawHotKeys(): void {
    const {length} = this.keyByRank;
    for (let rank = 0; rank < HOT_KEY_COUNT; rank++) {
      const other =
        HOT_KEY_COUNT + Math.floor(this.random() * (length - HOT_KEY_COUNT));
      this.swapRanks(rank, other);
    }
  }

  /** Draws the key of the next request according to the distribution. */
  drawKey(): number {
    const draw = this.random();
    let low = 0;
    let high = this.cumulativeShares.length - 1;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((this.cumulativeShares[middle] ?? 1) < draw) low = middle + 1;
      else high = middle;
    }
    return this.keyByRank[low] ?? 0;
  }

  /** Calls a function with each key and its share of the requests. */
  visitKeys(visit: (key: number, share: number) => void): void {
    for (let rank = 0; rank < this.keyByRank.length; rank++)
      visit(this.keyByRank[rank] ?? 0, this.shares[rank] ?? 0);
  }

  private swapRanks(a: number, b: number): void {
    const key = this.keyByRank[a] ?? 0;
    this.keyByRank[a] = this.keyByRank[b] ?? 0;
    this.keyByRank[b] = key;
  }
}
