/**
 * What a run leaves for the judges, whether it was in virtual time or on real processes.
 */
import {
  type Absence,
  type AssignmentSample,
  type ConfigurationSample,
  type Departure,
  findAssignmentViolations,
  findConfigurationViolations,
  findDepartureViolations,
  findShutdownViolations,
  findViolations,
  type Violation,
} from '@dottereldrift/bench/violations.js';
import type {LoadResult} from '@dottereldrift/bench/load.js';
import type {RunRecord} from '@dottereldrift/standins/backend_server.js';

import type {Promised, Script} from './script.js';

/** What a run showed. Times are of the monotonic clock. */
export interface Evidence {
  readonly results: readonly LoadResult[];
  readonly records: readonly RunRecord[];
  readonly departures: readonly Departure[];
  readonly absences: readonly Absence[];
  readonly configurations: readonly ConfigurationSample[];
  readonly assignments: readonly AssignmentSample[];
  /** When the traffic began. */
  readonly startedAtMs: number;
  /** What happened, one line each. */
  readonly trace: readonly string[];
}

/** Returns what a run broke of the promises of its script, one line each. */
export function findBroken(
  script: Script,
  evidence: Evidence,
): readonly string[] {
  const checked = new Set(script.promises);
  const violations = findAllViolations(evidence)
    .filter(violation => checked.has(getPromise(violation)))
    .map(violation => `${getPromise(violation)}: ${violation.detail}`);
  return [...violations, ...findUnrecovered(script, evidence)];
}

function findAllViolations(evidence: Evidence): readonly Violation[] {
  const {results, records, departures, absences} = evidence;
  return [
    ...findViolations(results, records),
    ...findDepartureViolations(records, departures),
    ...findShutdownViolations(results, records, departures, absences),
    ...findConfigurationViolations(evidence.configurations, absences),
    ...findAssignmentViolations(evidence.assignments),
  ];
}

/** An answer that says completed for a request that never ran is no whole answer. */
function getPromise(violation: Violation): Promised {
  const {promise} = violation;
  return promise === 'completed' ? 'own-answer' : promise;
}

function findUnrecovered(
  script: Script,
  evidence: Evidence,
): readonly string[] {
  const {recoveryMs, actions} = script;
  if (recoveryMs === undefined) return [];
  const lastMs = Math.max(0, ...actions.map(action => action.atMs));
  const fromMs = evidence.startedAtMs + lastMs + recoveryMs;
  const left = new Set(evidence.departures.map(departure => departure.host));
  const late = evidence.results.filter(
    result =>
      result.dueAtMs >= fromMs &&
      result.outcome !== 'completed' &&
      !left.has(result.entryHost ?? ''),
  );
  const first = late[0];
  if (first === undefined) return [];
  return [
    `recovery: ${late.length} requests failed, the first ${first.requestId}: ${first.outcome} ${first.code}`,
  ];
}
