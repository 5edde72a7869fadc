/**
 * Judges a run by the servers' own records: who ran what, and whether callers were told the truth;
 * and by samples of what daemons and store said: whether configuration and assignments last.
 */
import type {RunRecord} from '@dottereldrift/standins/backend_server.js';

import type {LoadResult} from './load.js';

/** A promise that a run broke. */
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

/** A host or a server that takes leave. */
export interface Departure {
  readonly host: string;
  /** Monotonic time at which the leave was acknowledged, or the signal was sent. */
  readonly atMs: number;
  /** Monotonic time at which a daemon that shut down had stopped; undefined for other leaves. */
  readonly stoppedAtMs?: number;
}

/** A time in which a host cannot be expected to hear or say anything. */
export interface Absence {
  readonly host: string;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Generation of the configuration that a daemon, or the store, showed. */
export interface ConfigurationSample {
  readonly host: string;
  readonly atMs: number;
  /** 0 when it has none yet. */
  readonly generation: number;
}

/** Assignment that a daemon, the store or an acknowledged writer showed, in the order of time. */
export interface AssignmentSample {
  readonly observer: string;
  readonly service: string;
  /** 0 when it has none yet. */
  readonly generation: number;
  /** Equal for equal assignments; undefined when only the generation was shown. */
  readonly digest: string | undefined;
}

/** Name under which the store is sampled. */
export const STORE_OBSERVER = 'store';

/** Time after which what leaves gets no new work. */
export const LEAVING_LIMIT_MS = 3_000;
/** Time after which an accepted configuration is in force everywhere. */
export const CONFIGURATION_LIMIT_MS = 6_000;

/** Returns every broken promise of a run. */
export function findViolations(
  results: readonly LoadResult[],
  records: readonly RunRecord[],
): readonly Violation[] {
  return [
    ...findOwnerViolations(records),
    ...findOutcomeViolations(results, records),
    ...findRepeatViolations(results, records),
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

/** Idempotency keys of non-idempotent requests under which more than one run began. */
function findRepeatViolations(
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
    const detail = `idempotency key ${key}: run ${count} times`;
    return [{promise: 'at-most-once' as const, detail}];
  });
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

/** Runs that began on what had left for longer than the limit. */
export function findLeavingViolations(
  records: readonly RunRecord[],
  departures: readonly Departure[],
): readonly Violation[] {
  return departures.flatMap(({host, atMs}) => {
    const late = records.filter(
      record =>
        record.host === host && record.startedAtMs > atMs + LEAVING_LIMIT_MS,
    );
    const last = late[late.length - 1];
    if (last === undefined) return [];
    const afterMs = Math.round(last.startedAtMs - atMs);
    const detail = `${host}: ${late.length} runs began late, the last ${afterMs} ms after it left`;
    return [{promise: 'leaving', detail}];
  });
}

/**
 * Requests that a shutdown cut off: run on the host that shut down, or taken by its daemon, and not
 * answered although nothing else stood in the way. Not counted is a run at which its server was still at
 * work when the deadline passed, of which the caller was told then: no daemon could have answered it; nor a
 * request whose caller was answered before the shutdown began, which it cannot have cut off.
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
  const absent = new Set(absences.map(absence => absence.host));
  const runs = new Map(records.map(record => [record.requestId, record]));
  return results
    .filter(result => result.outcome === 'unknown')
    .filter(result => !absent.has(result.entryHost ?? ''))
    .flatMap(result => {
      const {requestId, entryHost = '', code} = result;
      const run = runs.get(requestId);
      const ranHost = run?.host ?? '';
      const hasBegun = (host: string) =>
        isAnsweredAfter(result, shutdowns.get(host));
      const isRunCut = hasBegun(ranHost) && !isOverrun(result, run);
      const isEntryCut = hasBegun(entryHost) && code === 'connection';
      if (!isRunCut && !isEntryCut) return [];
      const detail = `${requestId}: by ${entryHost}, run on ${ranHost}, told unknown (${code})`;
      return [{promise: 'graceful-shutdown' as const, detail}];
    });
}

/** Tells whether a caller had no answer yet at a time, if there is one. */
function isAnsweredAfter(
  {dueAtMs, latencyMs}: LoadResult,
  atMs = Infinity,
): boolean {
  return dueAtMs + latencyMs >= atMs;
}

/** Tells whether a server worked on beyond the deadline of a request, and its caller was told no sooner. */
function isOverrun(
  {dueAtMs, latencyMs, deadlineMs}: LoadResult,
  run: RunRecord | undefined,
): boolean {
  if (run === undefined) return false;
  const finishedAtMs = run.startedAtMs + run.serviceMs;
  return latencyMs >= deadlineMs && finishedAtMs > dueAtMs + deadlineMs;
}

/** Daemons that went back to an older configuration, or did not take a newer one in time. */
export function findConfigurationViolations(
  samples: readonly ConfigurationSample[],
  absences: readonly Absence[],
): readonly Violation[] {
  const hosts = new Set(samples.map(sample => sample.host));
  return [...hosts].flatMap(host => {
    const own = samples.filter(sample => sample.host === host);
    return [
      ...findReversions(host, own),
      ...(host === STORE_OBSERVER
        ? []
        : findLateHosts(host, own, findAcceptances(samples), absences)),
    ];
  });
}

/** Assignments that changed under their generation, or went back. */
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
      const detail = `${name}: ${observer} has another assignment than was known`;
      violations.push({promise: 'assignment-survives', detail});
    }
    const previous = latest.get(`${observer} ${service}`) ?? 0;
    if (generation !== 0 && generation < previous) {
      const detail = `${observer}: ${service} went back from ${previous} to ${generation}`;
      violations.push({promise: 'assignment-survives', detail});
    }
    latest.set(`${observer} ${service}`, Math.max(previous, generation));
  }
  return [...violations, ...findLostAssignments(samples)];
}

/** What anybody showed must be in the store at the end. */
function findLostAssignments(
  samples: readonly AssignmentSample[],
): readonly Violation[] {
  const services = new Set(samples.map(sample => sample.service));
  return [...services].flatMap(service => {
    const own = samples.filter(sample => sample.service === service);
    const highest = Math.max(...own.map(sample => sample.generation));
    const stored = own.filter(sample => sample.observer === STORE_OBSERVER);
    const last = stored[stored.length - 1]?.generation ?? 0;
    if (last >= highest) return [];
    const detail = `${service}: generation ${highest} was known, the store ends with ${last}`;
    return [{promise: 'assignment-survives' as const, detail}];
  });
}

function findReversions(
  host: string,
  samples: readonly ConfigurationSample[],
): readonly Violation[] {
  let highest = 0;
  return samples.flatMap(({generation}) => {
    const isReverted = generation !== 0 && generation < highest;
    highest = Math.max(highest, generation);
    if (!isReverted) return [];
    const detail = `${host}: went back from ${highest} to ${generation}`;
    return [{promise: 'configuration' as const, detail}];
  });
}

/** For each generation, the sample that showed it first. */
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

function findLateHosts(
  host: string,
  samples: readonly ConfigurationSample[],
  acceptances: readonly ConfigurationSample[],
  absences: readonly Absence[],
): readonly Violation[] {
  const own = absences.filter(absence => absence.host === host);
  return acceptances.flatMap(({generation, atMs}) => {
    const late = samples.find(
      sample =>
        sample.generation < generation &&
        measurePresenceMs(sample.atMs, atMs, own) > CONFIGURATION_LIMIT_MS,
    );
    if (late === undefined) return [];
    const afterMs = Math.round(late.atMs - atMs);
    const detail = `${host}: has ${late.generation} ${afterMs} ms after ${generation} was accepted`;
    return [{promise: 'configuration' as const, detail}];
  });
}

/** Time for which a host has been present without a break since a configuration was accepted. */
function measurePresenceMs(
  atMs: number,
  acceptedAtMs: number,
  absences: readonly Absence[],
): number {
  const began = absences.filter(({fromMs}) => fromMs <= atMs);
  const presentSinceMs = Math.max(
    acceptedAtMs,
    ...began.map(({untilMs}) => untilMs),
  );
  return atMs - presentSinceMs;
}
