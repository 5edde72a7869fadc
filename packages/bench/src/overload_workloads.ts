/**
 * The work that the overload model offers to one backend server: kinds with their shares, service
 * times and deadlines, and how the rate changes.
 */

/** Requests of one kind. */
export interface KindLoad {
  readonly kind: string;
  readonly share: number;
  /** Mean service time without stragglers; times are uniform from half to one and a half of it. */
  readonly serviceMs: number;
  readonly deadlineMs: number;
  readonly priority: number;
  /** Whether its latency is reported as that of short work. */
  readonly isShort: boolean;
}

/** A mix of requests. */
export interface Workload {
  readonly name: string;
  readonly kinds: readonly KindLoad[];
  /** Share of the requests of every kind that run longer. */
  readonly stragglerShare: number;
  readonly stragglerFactor: number;
  /** Share of the requests that come from one caller; the rest is spread evenly. */
  readonly hotCallerShare: number;
  /** Time after the start during which the server is slow. */
  readonly coldMs: number;
}

/** A stretch of time with one rate, as a multiple of the server's capacity. */
export interface Phase {
  readonly load: number;
  readonly durationMs: number;
}

/** Factor by which a cold server is slower. */
export const COLD_FACTOR = 3;

const READ: KindLoad = {
  kind: 'read',
  share: 1,
  serviceMs: 4,
  deadlineMs: 500,
  priority: 7,
  isShort: true,
};

const WRITE: KindLoad = {
  kind: 'write',
  share: 0.2,
  serviceMs: 10,
  deadlineMs: 2_000,
  priority: 5,
  isShort: false,
};

const BATCH: KindLoad = {
  kind: 'batch',
  share: 0.02,
  serviceMs: 200,
  deadlineMs: 5_000,
  priority: 3,
  isShort: false,
};

const BASE = {
  stragglerShare: 0,
  stragglerFactor: 50,
  hotCallerShare: 0,
  coldMs: 0,
} as const;

/** Short reads only. */
export const READS: Workload = {...BASE, name: 'reads', kinds: [READ]};

/** Reads, writes, and a few batches 50 times longer than a read. */
export const MIXED: Workload = {
  ...BASE,
  name: 'mixed',
  kinds: [{...READ, share: 0.78}, WRITE, BATCH],
};

/** Reads whose callers wait for no more than two and a half times the service time. */
export const URGENT: Workload = {
  ...READS,
  name: 'urgent',
  kinds: [{...READ, deadlineMs: 10}],
};

/** Reads of 1 ms of which three in ten take 20 times as long, which is usual for them. */
export const UNEVEN: Workload = {
  ...READS,
  name: 'uneven',
  kinds: [{...READ, serviceMs: 1}],
  stragglerShare: 0.3,
  stragglerFactor: 20,
};

/** Reads of which a share, not known beforehand, runs 50 times longer. */
export function createHiddenStragglers(share: number): Workload {
  return {...READS, name: `hidden ${share * 100}%`, stragglerShare: share};
}

/** Reads, and a kind 50 times longer with the share given. */
export function createLongKind(share: number): Workload {
  const kinds = [
    {...READ, share: 1 - share},
    {...BATCH, share},
  ];
  return {...READS, name: `batches ${share * 100}%`, kinds};
}

/** Returns the mean service time of a mix, in milliseconds. */
export function computeMeanServiceMs(workload: Workload): number {
  const {kinds, stragglerShare, stragglerFactor} = workload;
  const plainMs = kinds.reduce(
    (sum, load) => sum + load.share * load.serviceMs,
    0,
  );
  return plainMs * (1 + stragglerShare * (stragglerFactor - 1));
}
