/**
 * Authenticates peers and operators by their shared keys.
 */
import {timingSafeEqual} from 'node:crypto';

/** Compares `authorization` headers with one key. */
export class KeyVerifier {
  private readonly expected: Buffer;

  constructor(key: string) {
    this.expected = Buffer.from(`Bearer ${key}`);
  }

  /** Returns whether a header carries the key. The comparison takes constant time. */
  isAuthorized(header: string | undefined): boolean {
    if (header === undefined) return false;
    const given = Buffer.from(header);
    return (
      given.byteLength === this.expected.byteLength &&
      timingSafeEqual(given, this.expected)
    );
  }
}
