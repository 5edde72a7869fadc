/**
 * The configuration as operators write it and as daemons use it.
 */

/** How a service divides work among its servers. */
export type Division = 'byKey' | 'none';

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
  readonly slicesPerServer: number;
  /** Requests that may wait at one owner. */
  readonly maxQueued: number;
  readonly kinds: readonly RequestKind[];
}

/** Everything that operators configure. */
export interface Manifest {
  readonly services: Readonly<Record<string, ServiceRules>>;
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
