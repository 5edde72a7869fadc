/**
 * Times that leases rest on. A holder counts its lease from when it sent a heartbeat, a witness from
 * when it received it, so the witness's lease always ends later.
 */

/** Time between two heartbeats to a witness. */
export const HEARTBEAT_INTERVAL_MS = 500;

/** Time that a heartbeat renews a lease for. */
export const LEASE_DURATION_MS = 2_000;

/** Allowance for clocks of two hosts that run at different rates. */
export const DRIFT_MARGIN_MS = 100;

/**
 * Most by which the times differ that the two clocks of a host have counted when neither was stopped or
 * set, in milliseconds.
 */
export const CLOCK_DIFFERENCE_LIMIT_MS = 20;

/** Witnesses of a member in a small fleet. */
export const SMALL_WITNESS_SET_SIZE = 3;

/** Witnesses of a member in a large fleet. */
export const LARGE_WITNESS_SET_SIZE = 5;

/** Number of members from which a fleet is large. */
export const LARGE_FLEET_SIZE = 10;

/** Steps by which the witnesses of one member start its takeover one after the other. */
export const TAKEOVER_STAGGER_MS = 150;
