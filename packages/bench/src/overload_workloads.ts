/**
 * Defines the workloads that the overload model offers to one backend server: request kinds with their
 * shares, service times and deadlines, and phases of load.
 */

/** The requests of one kind within a workload. */
export interface KindLoad {
  readonly kind: string;
  readonly share: number;
  /** Mean service time without stragglers; times are uniform between 0.5 and 1.5 times the mean. */
  readonly serviceMs: number;
  readonly deadlineMs: number;
  readonly priority: number;
  /** Whether the kind counts towards the metrics of short requests. */
  readonly isShort: boolean;
}

/** A mix of request kinds, with stragglers, a hot caller and a cold start. */
export interface Workload {
  readonly name: string;
  readonly kinds: readonly KindLoad[];
  /** Share of the requests of every kind that are stragglers. */
  readonly stragglerShare: number;
  readonly stragglerFactor: number;
  /** Share of the requests that come from one caller; the rest are spread evenly over the others. */
  readonly hotCallerShare: number;
  /** Time after the start of the run during which the server is cold. */
  readonly coldMs: number;
}

/** A period with a constant load, given as a multiple of the server's capacity. */
export interface Phase {
  readonly load: number;
  readonly durationMs: number;
}

/** Factor by which service times are longer on a cold server. */
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

/** Reads, writes and a few batches that take 50 times as long as a read. */
export const MIXED: Workload = {
  ...BASE,
  name: 'mixed',
  kinds: [{...READ, share: 0.78}, WRITE, BATCH],
};

/** Reads with a deadline of 2.5 times their mean service time. */
export const URGENT: Workload = {
  ...READS,
  name: 'urgent',
  kinds: [{...READ, deadlineMs: 10}],
};

/** Reads with a mean of 1 ms, 30% of which take 20 times as long as a normal part of the workload. */
export const UNEVEN: Workload = {
  ...READS,
  name: 'uneven',
  kinds: [{...READ, serviceMs: 1}],
  stragglerShare: 0.3,
  stragglerFactor: 20,
};

/** Creates a workload of reads, a share of which unpredictably take 50 times as long. */
export function createHiddenStragglers(share: number): Workload {
  return {...READS, name: `hidden ${share * 100}%`, stragglerShare: share};
}

/** Creates a workload of reads and the given share of batches, which take 50 times as long. */
export function createLongKind(share: number): Workload {
  const kinds = [
    {...READ, share: 1 - share},
    {...BATCH, share},
  ];
  return {...READS, name: `batches ${share * 100}%`, kinds};
}

/** Computes the mean service time of a workload, in milliseconds, including stragglers. */
export function computeMeanServiceMs(workload: Workload): number {
  const {kinds, stragglerShare, stragglerFactor} = workload;
  const plainMs = kinds.reduce(
    (sum, load) => sum + load.share * load.serviceMs,
    0,
  );
  return plainMs * (1 + stragglerShare * (stragglerFactor - 1));
}
