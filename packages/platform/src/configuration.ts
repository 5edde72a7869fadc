/**
 * Translates the platform's configuration into a manifest.
 */
import * as E from 'fp-ts/lib/Either.js';

import {checkValue} from '@dottereldrift/manifest/check.js';
import type {
  AcceptedManifest,
  CallerLimits,
  ValidationError,
  RequestKind,
  Route,
  RoutePart,
  ServiceRules,
} from '@dottereldrift/manifest/types.js';

import {
  configurationSchema,
  resourceSchema,
  type WireLimits,
  type WireRoute,
  type WireService,
} from './wire.js';

const HEXADECIMAL = 16;
/** Kinds whose requests may run more than once; any other kind runs at most once. */
const IDEMPOTENT_KINDS: ReadonlySet<string> = new Set(['safe', 'download']);
/** Rank that the product drops last; the platform counts from 0 for the highest. */
const HIGHEST_PRIORITY = 9;
const DEFAULT_GOAL_SHARE = 0.25;
/** Part of the time of the goal that a server is first expected to take. */
const EXPECTED_SERVICE_SHARE = 0.25;
const DEFAULT_ATTEMPTS = 2;
const RESOURCE_TYPES: ReadonlySet<string> = new Set([
  'routes',
  'services',
  'limits',
]);
/** Slices of a server; few, because each is a row of every grant, and an answer has 4 KiB. */
const SLICES_PER_SERVER = 16;
/** Requests that may wait at one owner; the time that they would wait bounds them further. */
const MAX_QUEUED = 256;
/** Longest deadline that a caller of the platform names. */
const MAX_RUN_MS = 30_000;
const OBJECTIVE = 0.99;

/** Returns the manifest that a configuration stands for, or what cannot be translated. */
export function translateConfiguration(
  body: unknown,
  sourceVersion: number,
): E.Either<readonly ValidationError[], AcceptedManifest> {
  const checked = checkValue(configurationSchema, body);
  if (E.isLeft(checked)) return checked;
  const faults: ValidationError[] = [];
  const routes: Route[] = [];
  const services: Record<string, ServiceRules> = {};
  let callerLimits: CallerLimits | undefined;
  checked.right.resources.forEach((entry, index) => {
    const resource = checkValue(resourceSchema, entry);
    if (E.isLeft(resource)) {
      if (isOtherResource(entry)) return;
      faults.push(...resource.left.map(fault => addPlace(fault, index)));
      return;
    }
    const {right} = resource;
    switch (right.res_type) {
      case 'routes':
        routes.push(translateRoute(right.metadata.name, right.spec));
        return;
      case 'services':
        services[right.metadata.name] = translateService(right.spec);
        return;
      case 'limits':
        callerLimits = translateLimits(right.spec);
    }
  });
  if (faults.length > 0) return E.left(faults);
  return E.right({
    generation: parseInt(checked.right.version, HEXADECIMAL),
    sourceVersion,
    manifest: {services, routes, callerLimits},
  });
}

/** Tells whether an entry is of a type that came later and means nothing here. */
function isOtherResource(entry: unknown): boolean {
  const type = (entry as {readonly res_type?: unknown} | null)?.res_type;
  return typeof type === 'string' && !RESOURCE_TYPES.has(type);
}

function addPlace(
  {path, reason}: ValidationError,
  index: number,
): ValidationError {
  return {path: `$.resources[${index}]${path.slice(1)}`, reason};
}

function translateRoute(name: string, wire: WireRoute): Route {
  const goalMs = wire.goal_ms ?? wire.timeout_ms * DEFAULT_GOAL_SHARE;
  return {
    name,
    host: wire.host,
    pathPrefix: wire.path_prefix,
    kind: translateKind(name, wire, goalMs),
    goalMs,
    parts: translateParts(wire),
  };
}

function translateParts({service, split}: WireRoute): readonly RoutePart[] {
  if (split !== undefined && split.length > 0) return split;
  return service === undefined ? [] : [{service, weight: 1}];
}

function translateKind(
  name: string,
  wire: WireRoute,
  goalMs: number,
): RequestKind {
  return {
    name,
    match: {},
    idempotent: IDEMPOTENT_KINDS.has(wire.kind),
    deadlineMs: wire.timeout_ms,
    maxAttempts: wire.attempts ?? DEFAULT_ATTEMPTS,
    priority: Math.max(0, HIGHEST_PRIORITY - (wire.priority ?? 0)),
    expectedServiceMs: goalMs * EXPECTED_SERVICE_SHARE,
    objective: OBJECTIVE,
  };
}

function translateService(wire: WireService): ServiceRules {
  return {
    division: wire.sharded === true ? 'byRange' : 'none',
    fencing: wire.sharded === true ? 'checked' : 'none',
    maxRunMs: MAX_RUN_MS,
    slicesPerServer: wire.sharded === true ? SLICES_PER_SERVER : 0,
    maxQueued: MAX_QUEUED,
    maxConnections: wire.max_conns,
    kinds: [],
  };
}

function translateLimits(wire: WireLimits): CallerLimits {
  return {
    headerBytes: wire.max_header_bytes,
    bodyBytes: wire.max_body_bytes,
    headerTimeoutMs: wire.header_timeout_ms,
    idleTimeoutMs: wire.idle_timeout_ms,
  };
}
