/**
 * Tracks answer sizes for each kind of request and derives the cost factor of hosts in other data
 * centres from them. Large downloads stay local, because links between data centres are slow and their
 * traffic is expensive.
 */

const SIZE_WEIGHT = 0.1;
/**
 * Bytes of an answer that add 1 to the cost factor of another data centre. The factor for a download of
 * 90 KB, the users' largest, is 24, above the penalty of 21 that refusals add to a local host.
 */
const BYTES_PER_COST_UNIT = 4_096;
/**
 * Cost factor of another data centre for an answer without a body: the hop takes longer and the headers
 * are transferred too. It is low enough that a local server of half the speed still shares its load.
 */
const MIN_REMOTE_COST_FACTOR = 2;
/**
 * Cost factor for the largest answers. It exceeds the factor of up to 21 that recent refusals add to a
 * host, so that these answers cross data centres only after a refusal for the request itself, which a
 * local host without room sends before the request would wait too long.
 */
const MAX_REMOTE_COST_FACTOR = 32;

/** Exponentially decayed mean answer size for each kind of request. */
export class AnswerSizes {
  private readonly meanBytes = new Map<string, number>();

  /** Adds the size of an answer, in bytes. */
  observe(kind: string, bytes: number): void {
    const mean = this.meanBytes.get(kind) ?? bytes;
    this.meanBytes.set(kind, mean + (bytes - mean) * SIZE_WEIGHT);
  }

  /** Returns the mean size of the answers to a kind of request, in bytes; 0 if none is known. */
  getMeanBytes(kind: string): number {
    return this.meanBytes.get(kind) ?? 0;
  }

  /** Returns the cost factor of hosts in other data centres for a kind of request. */
  getRemoteCostFactor(kind: string): number {
    const bytes = this.getMeanBytes(kind);
    return Math.min(
      MAX_REMOTE_COST_FACTOR,
      MIN_REMOTE_COST_FACTOR + bytes / BYTES_PER_COST_UNIT,
    );
  }
}
