/**
 * Types shared by all packages: identifiers, instants and the outcome of a request.
 */

/** Name of a host, unique in the fleet. */
export type HostName = string;

/** Name of a service in the manifest. */
export type ServiceName = string;

/** Identifies one run of a daemon, from start to end of its process. */
export type Incarnation = string;

/**
 * Fencing token. The tokens of a service increase monotonically; a higher token supersedes every lower one.
 */
export type Token = number;

/** One incarnation of the daemon on one host. */
export interface Member {
  readonly host: HostName;
  readonly incarnation: Incarnation;
}

/** A point in time, read from both clocks of the host. */
export interface Instant {
  /** Milliseconds of the monotonic clock, which stops while the host is suspended. */
  readonly monotonicMs: number;
  /** Milliseconds since the Unix epoch. */
  readonly wallMs: number;
}

/** Outcome of a request as reported to its caller. */
export type Outcome = 'completed' | 'not-run' | 'unknown';

/** An address that peers, callers or backend servers connect to. */
export interface Address {
  /** IPv4 or IPv6 address. */
  readonly ip: string;
  readonly port: number;
}
