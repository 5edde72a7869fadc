/**
 * The routes of one service as an embedded client keeps them: checked when they are read, and never
 * replaced by an older generation.
 */
import * as E from 'fp-ts/lib/Either.js';

import {hashKey} from '@dottereldrift/core/ring_hash.js';

/** Routes of a service under one generation of its assignment. */
export interface RouteTable {
  readonly service: string;
  readonly division: 'byKey' | 'none';
  readonly generation: number;
  /** Addresses of the daemons for callers, as `ip:port`. */
  readonly daemons: readonly string[];
  /** Starts of the slices, in ascending order. */
  readonly starts: readonly number[];
  /** Index among the daemons of the owner of each slice; -1 when it has none. */
  readonly owners: readonly number[];
}

/** Parses the answer of a daemon. */
export function parseRouteTable(text: string): E.Either<string, RouteTable> {
  const value = tryParseJson(text);
  if (!isRecord(value)) return E.left('The routes are not a JSON object.');
  const {service, division, generation, daemons, slices} = value;
  const isValid =
    typeof service === 'string' &&
    (division === 'byKey' || division === 'none') &&
    Number.isSafeInteger(generation) &&
    isListOf(daemons, isText) &&
    isListOf(slices, isPair);
  if (!isValid) return E.left('The routes lack a field or have a wrong one.');
  const pairs = slices as ReadonlyArray<readonly [number, number]>;
  return E.right({
    service,
    division,
    generation: Number(generation),
    daemons: daemons as readonly string[],
    starts: pairs.map(pair => pair[0]),
    owners: pairs.map(pair => pair[1]),
  });
}

/** Returns the address of the daemon that owns a key; undefined when none is known. */
export function findOwnerAddress(
  table: RouteTable,
  key: string,
): string | undefined {
  const position = hashKey(key);
  let low = 0;
  let high = table.starts.length - 1;
  while (low < high) {
    const middle = (low + high + 1) >>> 1;
    if ((table.starts[middle] ?? 0) <= position) low = middle;
    else high = middle - 1;
  }
  return table.daemons[table.owners[low] ?? -1];
}

function tryParseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isListOf(value: unknown, isItem: (item: unknown) => boolean): boolean {
  return Array.isArray(value) && value.every(isItem);
}

function isText(value: unknown): boolean {
  return typeof value === 'string';
}

function isPair(value: unknown): boolean {
  return (
    Array.isArray(value) && value.length === 2 && value.every(Number.isInteger)
  );
}
