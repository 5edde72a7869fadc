/**
 * Hashes keys to positions on the ring of 32-bit numbers that services are divided over.
 */
import murmurhash from 'murmurhash';

/** Number of positions on the ring. */
export const RING_SIZE = 2 ** 32;

/** Returns the position of a key: an integer from 0 up to, not including, `RING_SIZE`. */
export function hashKey(key: string): number {
  return murmurhash.v3(key) >>> 0;
}
