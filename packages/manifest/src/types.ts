/**
 * Types of the manifest, the configuration that operators write and daemons use.
 */

/**
 * How a service partitions its keys among servers: by hash of arbitrary keys, by range of integer keys so that
 * adjacent keys stay together, or not at all.
 */
export type Division = 'byKey' | 'byRange' | 'none';

/** Whether the backend servers of a service check fencing tokens. */
export type FencingMode = 'checked' | 'none';

/** Rule that selects the requests of a kind. */
export interface KindMatch {
  /** Matching methods; all methods if absent. */
  readonly methods?: readonly string[] | undefined;
  /** Prefix of the path after the service or key; all paths if absent. */
  readonly pathPrefix?: string | undefined;
}

/** Rules for one kind of request. */
export interface RequestKind {
  readonly name: string;
  readonly match: KindMatch;
  /** Whether running the request twice has the same effect as running it once. */
  readonly idempotent: boolean;
  /** Deadline if the caller does not set one, in milliseconds. */
  readonly deadlineMs: number;
  /** Maximum number of attempts, including the first. */
  readonly maxAttempts: number;
  /** From 0 (shed first) to 9 (shed last). */
  readonly priority: number;
  /** Service time assumed until one has been measured, in milliseconds. */
  readonly expectedServiceMs: number;
  /** Share of requests that must be answered in time; used by the report. */
  readonly objective: number;
}

/** Rules for one service. */
export interface ServiceRules {
  readonly division: Division;
  readonly fencing: FencingMode;
  /** Maximum run time of a request on a server that does not check fencing tokens, in milliseconds. */
  readonly maxRunMs: number;
  /** Target number of slices per server; 0 for a service whose keys have no owner. */
  readonly slicesPerServer: number;
  /** Maximum number of requests queued at one owner. */
  readonly maxQueued: number;
  /** Connections that one server accepts from all callers; if absent, the number that it announces. */
  readonly maxConnections?: number | undefined;
  readonly kinds: readonly RequestKind[];
}

/** A weighted target of a route. */
export interface RoutePart {
  readonly service: string;
  /** Share of the requests, relative to the weights of the other parts. */
  readonly weight: number;
}

/** Routes the requests for one host and path prefix to services. */
export interface Route {
  readonly name: string;
  /** Host name that callers use. */
  readonly host: string;
  /** Prefix of the path; the longest matching prefix among the routes of a host is used. */
  readonly pathPrefix: string;
  /** Rules for the requests; the deadline is an upper bound for the one that callers set. */
  readonly kind: RequestKind;
  /** Target response time, in milliseconds; later answers are worth less. */
  readonly goalMs: number;
  readonly parts: readonly RoutePart[];
}

/** Limits on the size of caller requests and on how long callers may take. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** The complete manifest. */
export interface Manifest {
  readonly services: Readonly<Record<string, ServiceRules>>;
  readonly routes?: readonly Route[] | undefined;
  /** Limits for callers; if absent, the limits of the settings apply. */
  readonly callerLimits?: CallerLimits | undefined;
}

/** An accepted manifest. */
export interface AcceptedManifest {
  /** Incremented with every accepted manifest. */
  readonly generation: number;
  /** Version of the submitted object from which it was created. */
  readonly sourceVersion: number;
  readonly manifest: Manifest;
}

/** Result of the last manifest submission. */
export interface ManifestStatus {
  readonly sourceVersion: number;
  readonly isAccepted: boolean;
  readonly generation: number;
  readonly faults: readonly ValidationError[];
}

/** One validation error of a file. */
export interface ValidationError {
  /** JSON path of the invalid value, such as `$.services.menu.kinds[0].deadlineMs`. */
  readonly path: string;
  /** The value found and the values allowed. */
  readonly reason: string;
}
