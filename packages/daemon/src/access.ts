/**
 * Checks the keys by which peers and operators prove themselves.
 */
import {createHash, timingSafeEqual} from 'node:crypto';

const BEARER_PREFIX = 'Bearer ';

/** Tells whether an `authorization` header carries the key, in a time that does not depend on it. */
export function isAuthorized(header: string | undefined, key: string): boolean {
  if (header === undefined || !header.startsWith(BEARER_PREFIX)) return false;
  return timingSafeEqual(
    hashText(header.slice(BEARER_PREFIX.length)),
    hashText(key),
  );
}

function hashText(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}
