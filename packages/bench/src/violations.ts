/**
 * Checks the guarantees of the router after a run. Ownership and reported outcomes are checked against the
 * servers' run records, configurations and assignments against samples taken from the daemons and the store.
 */
import type {RunRecord} from '@dottereldrift/standins/backend_server.js';

import type {LoadResult} from './load.js';

/** A guarantee that was violated in a run. */
export interface Violation {
  readonly promise:
    | 'one-owner'
    | 'not-run'
    | 'at-most-once'
    | 'own-answer'
    | 'completed'
    | 'leaving'
    | 'graceful-shutdown'
    | 'configuration'
    | 'assignment-survives';
  readonly detail: string;
}

/** The planned departure of a host or a server. */
export interface Departure {
  readonly host: string;
  /** Monotonic time at which the departure was acknowledged or the signal was sent. */
  readonly atMs: number;
  /** Monotonic time at which a daemon that shut down had exited; undefined for other departures. */
  readonly stoppedAtMs?: number;
}

/** An interval in which a host cannot be expected to communicate. */
export interface Absence {
  readonly host: string;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** The configuration generation that a daemon or the store had at some time. */
export interface ConfigurationSample {
  readonly host: string;
  readonly atMs: number;
  /** 0 if there is no configuration yet. */
  readonly generation: number;
}

/** An assignment observed at a daemon, the store or an acknowledged writer; samples are in time order. */
export interface AssignmentSample {
  readonly observer: string;
  readonly service: string;
  /** 0 if there is no assignment yet. */
  readonly generation: number;
  /** Equal for equal assignments; undefined if only the generation was observed. */
  readonly digest: string | undefined;
}

/** Observer name of the samples taken from the store. */
export const STORE_OBSERVER = 'store';

/** Time after a departure from which no new run may start on the departed host. */
export const DEPARTURE_LIMIT_MS = 3_000;
/** Time within which every reachable daemon must apply an accepted configuration. */
export const CONFIGURATION_LIMIT_MS = 6_000;

/** Returns the violations that the callers' results and the servers' records show. */
export function findViolations(
  results: readonly LoadResult[],
  records: readonly RunRecord[],
): readonly Violation[] {
  return [
    ...findOwnerViolations(records),
    ...findOutcomeViolations(results, records),
    ...findDuplicateRunViolations(results, records),
  ];
}

/**
 * Finds violations of exclusive ownership: once a server has run a request for a key under a token, no other
 * server may run one for that key under the same or a lower token.
 */
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
    checkResult(result, runs.get(result.requestId) ?? 0),
  );
}

/** Finds idempotency keys of non-idempotent requests for which more than one run started. */
function findDuplicateRunViolations(
  results: readonly LoadResult[],
  records: readonly RunRecord[],
): readonly Violation[] {
  const keys = new Set(
    results
      .filter(result => !result.isIdempotent)
      .flatMap(result => result.idempotencyKey ?? []),
  );
  const runs = new Map<string, number>();
  for (const {idempotencyKey} of records)
    runs.set(idempotencyKey, (runs.get(idempotencyKey) ?? 0) + 1);
  return [...keys].flatMap(key => {
    const count = runs.get(key) ?? 0;
    if (count <= 1) return [];
    const detail = `idempotency key ${key}: ran ${count} times`;
    return [{promise: 'at-most-once' as const, detail}];
  });
}

function checkResult(result: LoadResult, runs: number): readonly Violation[] {
  const {requestId, outcome} = result;
  const violations: Violation[] = [];
  if (outcome === 'not-run' && runs > 0) {
    const detail = `${requestId}: reported not-run (${result.code}), but ran ${runs} times`;
    violations.push({promise: 'not-run', detail});
  }
  if (outcome === 'completed' && runs === 0) {
    violations.push({
      promise: 'completed',
      detail: `${requestId}: reported completed, but never ran`,
    });
  }
  if (!result.isIdempotent && runs > 1) {
    violations.push({
      promise: 'at-most-once',
      detail: `${requestId}: ran ${runs} times`,
    });
  }
  if (!result.isOwnAnswer) {
    violations.push({
      promise: 'own-answer',
      detail: `${requestId}: received the response to another request`,
    });
  }
  return violations;
}

/** Finds runs that started on a departed host or server after the time limit. */
export function findDepartureViolations(
  records: readonly RunRecord[],
  departures: readonly Departure[],
): readonly Violation[] {
  return departures.flatMap(({host, atMs}) => {
    const late = records.filter(
      record =>
        record.host === host && record.startedAtMs > atMs + DEPARTURE_LIMIT_MS,
    );
    const last = late[late.length - 1];
    if (last === undefined) return [];
    const afterMs = Math.round(last.startedAtMs - atMs);
    const detail = `${host}: ${late.length} runs started too late, the last ${afterMs} ms after the departure`;
    return [{promise: 'leaving', detail}];
  });
}

/**
 * Finds requests that a graceful shutdown interrupted: requests that ran on the host that shut down, or were
 * accepted by its daemon, and ended with an unknown outcome although their entry host was never absent. Two
 * cases are excluded. If the server was still running the request at its deadline and the caller got the
 * outcome only then, no daemon could have answered in time. If the caller got its outcome before the
 * shutdown began, the shutdown cannot have interrupted the request.
 */
export function findShutdownViolations(
  results: readonly LoadResult[],
  records: readonly RunRecord[],
  departures: readonly Departure[],
  absences: readonly Absence[],
): readonly Violation[] {
  const shutdowns = new Map(
    departures
      .filter(departure => departure.stoppedAtMs !== undefined)
      .map(departure => [departure.host, departure.atMs]),
  );
  const absentHosts = new Set(absences.map(absence => absence.host));
  const runs = new Map(records.map(record => [record.requestId, record]));
  return results
    .filter(result => result.outcome === 'unknown')
    .filter(result => !absentHosts.has(result.entryHost ?? ''))
    .flatMap(result => {
      const {requestId, entryHost = '', code} = result;
      const run = runs.get(requestId);
      const runHost = run?.host ?? '';
      const isInterrupted = (host: string) =>
        isAnsweredAfter(result, shutdowns.get(host));
      const isRunInterrupted =
        isInterrupted(runHost) && !isOverrun(result, run);
      const isEntryInterrupted =
        isInterrupted(entryHost) && code === 'connection';
      if (!isRunInterrupted && !isEntryInterrupted) return [];
      const detail = `${requestId}: sent to ${entryHost}, run on ${runHost}, reported unknown (${code})`;
      return [{promise: 'graceful-shutdown' as const, detail}];
    });
}

/** Tells whether a caller got its outcome at or after a time; false if no time is given. */
function isAnsweredAfter(
  {dueAtMs, latencyMs}: LoadResult,
  atMs = Infinity,
): boolean {
  return dueAtMs + latencyMs >= atMs;
}

/** Tells whether a run outlasted its request's deadline and the caller got no outcome before the deadline. */
function isOverrun(
  {dueAtMs, latencyMs, deadlineMs}: LoadResult,
  run: RunRecord | undefined,
): boolean {
  if (run === undefined) return false;
  const finishedAtMs = run.startedAtMs + run.serviceMs;
  return latencyMs >= deadlineMs && finishedAtMs > dueAtMs + deadlineMs;
}

/** Finds daemons that reverted to an older configuration or did not apply a newer one in time. */
export function findConfigurationViolations(
  samples: readonly ConfigurationSample[],
  absences: readonly Absence[],
): readonly Violation[] {
  const hosts = new Set(samples.map(sample => sample.host));
  return [...hosts].flatMap(host => {
    const hostSamples = samples.filter(sample => sample.host === host);
    return [
      ...findConfigurationReversions(host, hostSamples),
      ...(host === STORE_OBSERVER
        ? []
        : findLateConfigurations(
            host,
            hostSamples,
            findAcceptances(samples),
            absences,
          )),
    ];
  });
}

/** Finds assignments that differ within one generation, revert to an older one or are missing in the store. */
export function findAssignmentViolations(
  samples: readonly AssignmentSample[],
): readonly Violation[] {
  const violations: Violation[] = [];
  const digests = new Map<string, string>();
  const latest = new Map<string, number>();
  for (const {observer, service, generation, digest} of samples) {
    const name = `${service} ${generation}`;
    const known = digests.get(name);
    if (digest !== undefined) digests.set(name, digest);
    if (digest !== undefined && known !== undefined && known !== digest) {
      const detail = `${name}: ${observer} has an assignment that differs from the known one`;
      violations.push({promise: 'assignment-survives', detail});
    }
    const previous = latest.get(`${observer} ${service}`) ?? 0;
    if (generation !== 0 && generation < previous) {
      const detail = `${observer}: ${service} reverted from ${previous} to ${generation}`;
      violations.push({promise: 'assignment-survives', detail});
    }
    latest.set(`${observer} ${service}`, Math.max(previous, generation));
  }
  return [...violations, ...findLostAssignments(samples)];
}

/** Finds services whose newest observed assignment is not in the store at the end. */
function findLostAssignments(
  samples: readonly AssignmentSample[],
): readonly Violation[] {
  const services = new Set(samples.map(sample => sample.service));
  return [...services].flatMap(service => {
    const serviceSamples = samples.filter(sample => sample.service === service);
    const highest = Math.max(
      ...serviceSamples.map(sample => sample.generation),
    );
    const stored = serviceSamples.filter(
      sample => sample.observer === STORE_OBSERVER,
    );
    const last = stored[stored.length - 1]?.generation ?? 0;
    if (last >= highest) return [];
    const detail = `${service}: generation ${highest} was observed, but the store ends with ${last}`;
    return [{promise: 'assignment-survives' as const, detail}];
  });
}

function findConfigurationReversions(
  host: string,
  samples: readonly ConfigurationSample[],
): readonly Violation[] {
  let highest = 0;
  return samples.flatMap(({generation}) => {
    const isReverted = generation !== 0 && generation < highest;
    highest = Math.max(highest, generation);
    if (!isReverted) return [];
    const detail = `${host}: reverted from ${highest} to ${generation}`;
    return [{promise: 'configuration' as const, detail}];
  });
}

/** Returns the earliest sample of each generation. */
function findAcceptances(
  samples: readonly ConfigurationSample[],
): readonly ConfigurationSample[] {
  const first = new Map<number, ConfigurationSample>();
  for (const sample of samples) {
    const known = first.get(sample.generation);
    if (known === undefined || sample.atMs < known.atMs)
      first.set(sample.generation, sample);
  }
  return [...first.values()];
}

function findLateConfigurations(
  host: string,
  samples: readonly ConfigurationSample[],
  acceptances: readonly ConfigurationSample[],
  absences: readonly Absence[],
): readonly Violation[] {
  const hostAbsences = absences.filter(absence => absence.host === host);
  return acceptances.flatMap(({generation, atMs}) => {
    const late = samples.find(
      sample =>
        sample.generation < generation &&
        computeReachableMs(sample.atMs, atMs, hostAbsences) >
          CONFIGURATION_LIMIT_MS,
    );
    if (late === undefined) return [];
    const afterMs = Math.round(late.atMs - atMs);
    const detail = `${host}: still has ${late.generation} ${afterMs} ms after ${generation} was accepted`;
    return [{promise: 'configuration' as const, detail}];
  });
}

/** Computes how long a host has been reachable without interruption since a configuration was accepted. */
function computeReachableMs(
  atMs: number,
  acceptedAtMs: number,
  absences: readonly Absence[],
): number {
  const startedAbsences = absences.filter(({fromMs}) => fromMs <= atMs);
  const reachableSinceMs = Math.max(
    acceptedAtMs,
    ...startedAbsences.map(({untilMs}) => untilMs),
  );
  return atMs - reachableSinceMs;
}
