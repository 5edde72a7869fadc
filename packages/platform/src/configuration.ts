/**
 * Translates the platform's configuration into the manifest of the daemon.
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
/** Kinds whose requests may run more than once. Requests of any other kind run at most once. */
const IDEMPOTENT_KINDS: ReadonlySet<string> = new Set(['safe', 'download']);
/** Highest priority in the manifest, shed last. The platform counts down from its highest priority, 0. */
const HIGHEST_PRIORITY = 9;
const DEFAULT_GOAL_SHARE = 0.25;
/** Initial estimate of the service time, as a fraction of the latency goal. */
const EXPECTED_SERVICE_TIME_SHARE = 0.25;
const DEFAULT_ATTEMPTS = 2;
const KNOWN_RESOURCE_TYPES: ReadonlySet<string> = new Set([
  'routes',
  'services',
  'limits',
]);
/** Slices of each server. Every slice is a row of each grant, and a grant must fit into a 4 KiB response. */
const SLICES_PER_SERVER = 16;
/** Maximum queue length at one owner. The estimated waiting time limits the queue further. */
const MAX_QUEUED = 256;
/** Longest deadline that callers of the platform set. */
const MAX_RUN_MS = 30_000;
const OBJECTIVE = 0.99;

/** Returns the manifest for a configuration, or the faults that prevent its translation. */
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
      if (hasUnknownType(entry)) return;
      faults.push(...resource.left.map(fault => addResourcePath(fault, index)));
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

/** Returns whether an entry has a type that this version does not know, and which is therefore ignored. */
function hasUnknownType(entry: unknown): boolean {
  const type = (entry as {readonly res_type?: unknown} | null)?.res_type;
  return typeof type === 'string' && !KNOWN_RESOURCE_TYPES.has(type);
}

function addResourcePath(
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
    expectedServiceMs: goalMs * EXPECTED_SERVICE_TIME_SHARE,
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
