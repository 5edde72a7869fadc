/**
 * Judges a run by the servers' own records: who ran what, and whether callers were told the truth.
 */
import type {RunRecord} from '@dottereldrift/standins/backend_server.js';

import type {LoadResult} from './load.js';

/** A promise that a run broke. */
export interface Violation {
  readonly promise:
    'one-owner' | 'not-run' | 'at-most-once' | 'own-answer' | 'completed';
  readonly detail: string;
}

/** Returns every broken promise of a run. */
export function findViolations(
  results: readonly LoadResult[],
  records: readonly RunRecord[],
): readonly Violation[] {
  return [
    ...findOwnerViolations(records),
    ...findOutcomeViolations(results, records),
  ];
}

/** For each key: once a server ran a request under a token, no other runs one under the same or less. */
export function findOwnerViolations(
  records: readonly RunRecord[],
): readonly Violation[] {
  const latest = new Map<string, RunRecord>();
  const violations: Violation[] = [];
  for (const record of records) {
    if (record.key === '') continue;
    const name = `${record.service}/${record.key}`;
    const previous = latest.get(name);
    if (previous !== undefined && isOutOfOrder(previous, record)) {
      const detail = `${name}: ${previous.host} token ${previous.token}, then ${record.host} token ${record.token}`;
      violations.push({promise: 'one-owner', detail});
    }
    latest.set(name, record);
  }
  return violations;
}

function isOutOfOrder(previous: RunRecord, next: RunRecord): boolean {
  if (previous.host === next.host) return next.token < previous.token;
  return next.token <= previous.token;
}

function findOutcomeViolations(
  results: readonly LoadResult[],
  records: readonly RunRecord[],
): readonly Violation[] {
  const runs = new Map<string, number>();
  for (const {requestId} of records)
    runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
  return results.flatMap(result =>
    judgeResult(result, runs.get(result.requestId) ?? 0),
  );
}

function judgeResult(result: LoadResult, runs: number): readonly Violation[] {
  const {requestId, outcome} = result;
  const violations: Violation[] = [];
  if (outcome === 'not-run' && runs > 0) {
    const detail = `${requestId}: told not-run (${result.code}), run ${runs} times`;
    violations.push({promise: 'not-run', detail});
  }
  if (outcome === 'completed' && runs === 0) {
    violations.push({
      promise: 'completed',
      detail: `${requestId}: told completed, never run`,
    });
  }
  if (!result.isIdempotent && runs > 1) {
    violations.push({
      promise: 'at-most-once',
      detail: `${requestId}: run ${runs} times`,
    });
  }
  if (!result.isOwnAnswer) {
    violations.push({
      promise: 'own-answer',
      detail: `${requestId}: another request's answer`,
    });
  }
  return violations;
}
