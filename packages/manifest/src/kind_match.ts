/**
 * Finds the kind of a request: the first one, in manifest order, whose match rule applies.
 */
import * as O from 'fp-ts/lib/Option.js';

import type {KindMatch, RequestKind, ServiceRules} from './types.js';

/** Returns the first kind whose rule matches the method and path. */
export function findKind(
  rules: ServiceRules,
  method: string,
  path: string,
): O.Option<RequestKind> {
  return O.fromNullable(
    rules.kinds.find(kind => isMatch(kind.match, method, path)),
  );
}

function isMatch(match: KindMatch, method: string, path: string): boolean {
  if (match.methods !== undefined && !match.methods.includes(method))
    return false;
  return match.pathPrefix === undefined || path.startsWith(match.pathPrefix);
}
