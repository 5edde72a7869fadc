/**
 * Hashes keys to positions on the 32-bit ring that services are partitioned over.
 */
import murmurhash from 'murmurhash';

/** Number of positions on the ring. */
export const RING_SIZE = 2 ** 32;

/** Returns the position of a key: an integer in the range [0, `RING_SIZE`). */
export function hashKey(key: string): number {
  return murmurhash.v3(key) >>> 0;
}
