/**
 * Parses and searches the route table of a service.
 */
import * as E from 'fp-ts/lib/Either.js';

import {hashKey} from '@dottereldrift/core/ring_hash.js';

/** Routes of a service in one generation of its assignment. */
export interface RouteTable {
  readonly service: string;
  readonly division: 'byKey' | 'none';
  readonly generation: number;
  /** Caller addresses of the daemons, as `ip:port`. */
  readonly daemons: readonly string[];
  /** Start positions of the slices, in ascending order. */
  readonly starts: readonly number[];
  /** Index into `daemons` of the owner of each slice, or -1 if it has no owner. */
  readonly owners: readonly number[];
}

/** Parses and validates the route table in a daemon's response. */
export function parseRouteTable(text: string): E.Either<string, RouteTable> {
  const value = tryParseJson(text);
  if (!isRecord(value)) return E.left('The route table is not a JSON object.');
  const {service, division, generation, daemons, slices} = value;
  const isValid =
    typeof service === 'string' &&
    (division === 'byKey' || division === 'none') &&
    Number.isSafeInteger(generation) &&
    isArrayOf(daemons, isString) &&
    isArrayOf(slices, isIntegerPair);
  if (!isValid)
    return E.left('The route table has a missing or invalid field.');
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

/** Returns the address of the daemon that owns a key, or undefined if none is known. */
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

function isArrayOf(
  value: unknown,
  isItem: (item: unknown) => boolean,
): boolean {
  return Array.isArray(value) && value.every(isItem);
}

function isString(value: unknown): boolean {
  return typeof value === 'string';
}

function isIntegerPair(value: unknown): boolean {
  return (
    Array.isArray(value) && value.length === 2 && value.every(Number.isInteger)
  );
}
