/**
 * Shapes shared by every package: identifiers, instants and the outcome of a request.
 */

/** Name of a host, unique in the fleet. */
export type HostName = string;

/** Name of a service, as the manifest gives it. */
export type ServiceName = string;

/** Distinguishes one run of a daemon from every other run of it. */
export type Incarnation = string;

/**
 * Fencing token. Tokens of one service only grow; a higher token supersedes every lower one.
 */
export type Token = number;

/** One run of the daemon on one host. */
export interface Member {
  readonly host: HostName;
  readonly incarnation: Incarnation;
}

/** A point in time by both clocks of the host. */
export interface Instant {
  /** Milliseconds of the monotonic clock, which stands still while the host is suspended. */
  readonly monotonicMs: number;
  /** Milliseconds since the Unix epoch. */
  readonly wallMs: number;
}

/** What a caller learns about its request. */
export type Outcome = 'completed' | 'not-run' | 'unknown';

/** An address that peers, callers or backend servers connect to. */
export interface Address {
  /** IP number. */
  readonly ip: string;
  readonly port: number;
}
