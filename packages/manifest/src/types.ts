/**
 * The configuration as operators write it and as daemons use it.
 */

/**
 * How a service divides work among its servers: by a hash of any key, by a range of whole-numbered keys
 * whose neighbours stay together, or not at all.
 */
export type Division = 'byKey' | 'byRange' | 'none';

/** Whether the servers of a service check fencing tokens. */
export type FencingMode = 'checked' | 'none';

/** Which requests a kind covers. */
export interface KindMatch {
  /** Methods covered; every method when absent. */
  readonly methods?: readonly string[] | undefined;
  /** Prefix of the path behind the service or key; every path when absent. */
  readonly pathPrefix?: string | undefined;
}

/** The rules for one kind of request. */
export interface RequestKind {
  readonly name: string;
  readonly match: KindMatch;
  /** Whether running the request twice is the same as running it once. */
  readonly idempotent: boolean;
  /** Time allowed when the caller names none. */
  readonly deadlineMs: number;
  /** Most times that the request is sent, the first included. */
  readonly maxAttempts: number;
  /** From 0, dropped first, to 9, dropped last. */
  readonly priority: number;
  /** Service time to expect until some has been observed. */
  readonly expectedServiceMs: number;
  /** Share of requests that must be answered in time, for the report. */
  readonly objective: number;
}

/** One service. */
export interface ServiceRules {
  readonly division: Division;
  readonly fencing: FencingMode;
  /** Longest that a request runs on a server that does not check fencing tokens. */
  readonly maxRunMs: number;
  /** 0 for a service whose keys nobody owns. */
  readonly slicesPerServer: number;
  /** Requests that may wait at one owner. */
  readonly maxQueued: number;
  /** Connections that one server accepts from all its callers; as announced when absent. */
  readonly maxConnections?: number | undefined;
  readonly kinds: readonly RequestKind[];
}

/** A part of the requests of a route. */
export interface RoutePart {
  readonly service: string;
  /** Share of the requests, relative to the weights of the other parts. */
  readonly weight: number;
}

/** Requests for one host and path prefix, and where they go. */
export interface Route {
  readonly name: string;
  /** Host that callers address. */
  readonly host: string;
  /** Prefix of the path; the longest of a host's routes that fits is taken. */
  readonly pathPrefix: string;
  /** Rules of the requests; the deadline bounds the one that callers give. */
  readonly kind: RequestKind;
  /** Time within which an answer is worth most, in milliseconds. */
  readonly goalMs: number;
  readonly parts: readonly RoutePart[];
}

/** Bounds of what a caller may send, and how long it may take. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** Everything that operators configure. */
export interface Manifest {
  readonly services: Readonly<Record<string, ServiceRules>>;
  readonly routes?: readonly Route[] | undefined;
  /** Bounds of callers; those of the settings when absent. */
  readonly callerLimits?: CallerLimits | undefined;
}

/** A manifest in force. */
export interface AcceptedManifest {
  /** Grows with every accepted manifest. */
  readonly generation: number;
  /** Version of the submitted object that it was made from. */
  readonly sourceVersion: number;
  readonly manifest: Manifest;
}

/** What became of the last manifest submitted. */
export interface ManifestStatus {
  readonly sourceVersion: number;
  readonly isAccepted: boolean;
  readonly generation: number;
  readonly faults: readonly Fault[];
}

/** One fault of a file. */
export interface Fault {
  /** JSON path of the fault, such as `$.services.menu.kinds[0].deadlineMs`. */
  readonly path: string;
  /** What was found and what is allowed. */
  readonly reason: string;
}
