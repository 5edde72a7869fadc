/**
 * Collects the observations of a scenario run, in virtual time or on real processes, and checks the promises of the
 * script against them.
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

import type {PromiseName, Script} from './script.js';

/** Observations of one run. All times are monotonic. */
export interface Evidence {
  readonly results: readonly LoadResult[];
  readonly records: readonly RunRecord[];
  readonly departures: readonly Departure[];
  readonly absences: readonly Absence[];
  readonly configurations: readonly ConfigurationSample[];
  readonly assignments: readonly AssignmentSample[];
  /** Start of the traffic. */
  readonly startedAtMs: number;
  /** Events of the run, one line each. */
  readonly trace: readonly string[];
}

/** Returns the violations of the script's promises, one line each. */
export function findBrokenPromises(
  script: Script,
  evidence: Evidence,
): readonly string[] {
  const checked = new Set(script.promises);
  const violations = findAllViolations(evidence)
    .filter(violation => checked.has(getPromise(violation)))
    .map(violation => `${getPromise(violation)}: ${violation.detail}`);
  return [...violations, ...findRecoveryFailures(script, evidence)];
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

/** Maps a violation to its promise. A completed answer to a request that never ran violates `own-answer`. */
function getPromise(violation: Violation): PromiseName {
  const {promise} = violation;
  return promise === 'completed' ? 'own-answer' : promise;
}

function findRecoveryFailures(
  script: Script,
  evidence: Evidence,
): readonly string[] {
  const {recoveryMs, actions} = script;
  if (recoveryMs === undefined) return [];
  const lastMs = Math.max(0, ...actions.map(action => action.atMs));
  const fromMs = evidence.startedAtMs + lastMs + recoveryMs;
  const departedHosts = new Set(
    evidence.departures.map(departure => departure.host),
  );
  const failed = evidence.results.filter(
    result =>
      result.dueAtMs >= fromMs &&
      result.outcome !== 'completed' &&
      !departedHosts.has(result.entryHost ?? ''),
  );
  const first = failed[0];
  if (first === undefined) return [];
  return [
    `recovery: ${failed.length} requests failed, the first ${first.requestId}: ${first.outcome} ${first.code}`,
  ];
}
