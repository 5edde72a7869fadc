/**
 * Checks the keys by which peers and operators prove themselves.
 */
import {timingSafeEqual} from 'node:crypto';

/** Checks `authorization` headers against one key. */
export class KeyCheck {
  private readonly expected: Buffer;

  constructor(key: string) {
    this.expected = Buffer.from(`Bearer ${key}`);
  }

  /**
   * Tells whether a header carries the key, in a time that does not depend on how much of it is
   * right.
   */
  isAuthorized(header: string | undefined): boolean {
    if (header === undefined) return false;
    const given = Buffer.from(header);
    return (
      given.byteLength === this.expected.byteLength &&
      timingSafeEqual(given, this.expected)
    );
  }
}
