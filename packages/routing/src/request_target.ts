/**
 * Parses the URL paths of callers' requests.
 */
import * as E from 'fp-ts/lib/Either.js';

import {createMessage, type Message} from '@dottereldrift/core/messages.js';

import type {RequestTarget} from './types.js';

const KEYED_PATTERN = /^\/services\/([^/?]+)\/keys\/([^/?]+)(\/[^?]*)?(\?.*)?$/;
const UNKEYED_PATTERN = /^\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/;

/** Parses `/services/SERVICE/keys/KEY/PATH` and `/services/SERVICE/PATH`. */
export function parseTarget(url: string): E.Either<Message, RequestTarget> {
  const keyed = KEYED_PATTERN.exec(url);
  if (keyed !== null) {
    const key = tryDecode(keyed[2] ?? '');
    if (key === undefined) return E.left(createMessage('DD3014'));
    return E.right({
      service: keyed[1] ?? '',
      key,
      path: formatPath(keyed[3], keyed[4]),
    });
  }
  const unkeyed = UNKEYED_PATTERN.exec(url);
  if (unkeyed === null)
    return E.left(createMessage('DD3003', {path: url.slice(0, 200)}));
  return E.right({
    service: unkeyed[1] ?? '',
    key: undefined,
    path: formatPath(unkeyed[2], unkeyed[3]),
  });
}

function formatPath(
  path: string | undefined,
  query: string | undefined,
): string {
  return `${path ?? '/'}${query ?? ''}`;
}

function tryDecode(text: string): string | undefined {
  try {
    return decodeURIComponent(text);
  } catch {
    return undefined;
  }
}
