/**
 * Timing constants of leases and sizes of witness sets. A holder measures its lease from when it sent a
 * heartbeat, a witness from when it received it, so the lease always ends later at the witness.
 */

/** Interval between heartbeats to a witness. */
export const HEARTBEAT_INTERVAL_MS = 500;

/** Duration for which a heartbeat renews a lease. */
export const LEASE_DURATION_MS = 2_000;

/** Safety margin for clock drift between two hosts. */
export const DRIFT_MARGIN_MS = 100;

/**
 * Maximum difference between the times elapsed on a host's monotonic clock and on its wall clock if neither
 * was stopped or set.
 */
export const CLOCK_DIFFERENCE_LIMIT_MS = 20;

/** Number of witnesses per member in a small fleet. */
export const SMALL_WITNESS_SET_SIZE = 3;

/** Number of witnesses per member in a large fleet. */
export const LARGE_WITNESS_SET_SIZE = 5;

/** Number of members from which a fleet counts as large. */
export const LARGE_FLEET_SIZE = 10;

/** Delay between the takeover attempts of successive witnesses of a member. */
export const TAKEOVER_STAGGER_MS = 150;
