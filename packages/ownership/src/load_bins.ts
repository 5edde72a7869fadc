/**
 * Histogram of the request weights within a range of the ring, in bins of equal width. It shows where the
 * load of a heavy slice is concentrated, so that the slice can be split there. This covers load on
 * adjacent keys none of which is hot by itself.
 */

/**
 * Number of bins per slice. With 16 slices on each of five servers, a slice has about 820 keys: 48 bins
 * allow it to be split into parts of 17 keys, and those into single keys after the next report.
 */
const BIN_COUNT = 48;

/** Weight of the positions from `start` (inclusive) to `end` (exclusive). */
export interface WeightedRange {
  readonly start: number;
  readonly end: number;
  readonly weight: number;
}

/** Accumulates weights by position. */
export class LoadBins {
  private readonly weights = new Array<number>(BIN_COUNT).fill(0);

  constructor(
    private readonly start: number,
    private readonly end: number,
  ) {}

  addWeight(position: number, weight: number): void {
    const index = this.findBin(position);
    this.weights[index] = (this.weights[index] ?? 0) + weight;
  }

  /** Scales every weight, which keeps growing weights within range. */
  applyFactor(factor: number): void {
    this.weights.forEach((weight, index) => {
      this.weights[index] = weight * factor;
    });
  }

  getTotal(): number {
    return this.weights.reduce((sum, weight) => sum + weight, 0);
  }

  /** Returns the bins that cover at least one position, in order. */
  listBins(): readonly WeightedRange[] {
    return this.weights.flatMap((weight, index) => {
      const start = this.getBinStart(index);
      const end = this.getBinStart(index + 1);
      return start < end ? [{start, end, weight}] : [];
    });
  }

  /**
   * Adds the weights of other bins that overlap this range, assuming that the weight of each bin is
   * spread evenly over its width.
   */
  mergeBins(other: LoadBins): void {
    for (const bin of other.listBins()) {
      if (bin.weight === 0) continue;
      for (let index = 0; index < BIN_COUNT; index++) {
        const from = Math.max(bin.start, this.getBinStart(index));
        const to = Math.min(bin.end, this.getBinStart(index + 1));
        if (from >= to) continue;
        const share = (to - from) / (bin.end - bin.start);
        this.weights[index] = (this.weights[index] ?? 0) + bin.weight * share;
      }
    }
  }

  private findBin(position: number): number {
    const width = this.end - this.start;
    const index = Math.floor(((position - this.start) * BIN_COUNT) / width);
    return Math.min(BIN_COUNT - 1, Math.max(0, index));
  }

  private getBinStart(index: number): number {
    return (
      this.start + Math.ceil((index * (this.end - this.start)) / BIN_COUNT)
    );
  }
}
