/**
 * Options of the adaptive policy. Each mechanism can be switched off, so that benchmarks can measure
 * its effect in isolation.
 */

/** Mechanisms in use, with their parameters. "p90" is the 90th-percentile service time of a kind. */
export interface AdaptiveOptions {
  /** Limit of the bytes held by waiting requests. */
  readonly maxQueuedBytes: number;
  /** Refuses requests immediately that cannot finish before their deadlines. */
  readonly isDeadlineChecked: boolean;
  /** Largest share of the slots that is reserved for short kinds; 0 for none. */
  readonly reservedShare: number;
  /** Divides slot time among waiting kinds by priority. */
  readonly isWeighted: boolean;
  /** Maximum estimated wait at which a request is admitted, in multiples of p90; 0 for no limit. */
  readonly waitMultiple: number;
  /** Maximum time that a request waits in the queue, in multiples of p90; 0 for no limit. */
  readonly dropMultiple: number;
  /**
   * Time after which a queue that has not been empty counts as a standing queue, in milliseconds; 0 for
   * never. From then on the two limits above are at most the ones below: under sustained overload a
   * long queue serves no more requests than a short one, and serves all of them late.
   */
  readonly standingQueueMs: number;
  /** Maximum estimated wait for admission to a standing queue, in multiples of p90. */
  readonly standingWaitMultiple: number;
  /** Maximum time that a request waits in a standing queue, in multiples of p90. */
  readonly standingDropMultiple: number;
  /**
   * Estimated wait, in multiples of p90, at which a request with a goal is admitted even if it cannot
   * meet the goal, to keep the slots busy. With a longer wait it is admitted only if it can meet it.
   */
  readonly minGoalWaitMultiple: number;
  /** Maximum time that a request with a goal waits, in multiples of the limit on its estimated wait. */
  readonly goalDropFactor: number;
  /** Serves short kinds before long ones; calls between servers are short and hold another slot. */
  readonly isShortFirst: boolean;
  /** Share of the slots that nested requests get ahead of new work; 0 to treat them alike. */
  readonly nestedShare: number;
  /** Serves callers round-robin. */
  readonly isFair: boolean;
}

const MEBIBYTE = 1_024 * 1_024;

/** A bounded queue in the order of arrival, with every other mechanism off. */
export const BASELINE_OPTIONS: AdaptiveOptions = {
  maxQueuedBytes: 16 * MEBIBYTE,
  isDeadlineChecked: false,
  reservedShare: 0,
  isWeighted: false,
  waitMultiple: 0,
  dropMultiple: 0,
  standingQueueMs: 0,
  standingWaitMultiple: 0,
  standingDropMultiple: 0,
  minGoalWaitMultiple: 0,
  goalDropFactor: 0,
  isShortFirst: false,
  nestedShare: 0,
  isFair: false,
};

/** Options that daemons use. */
export const ADAPTIVE_OPTIONS: AdaptiveOptions = {
  ...BASELINE_OPTIONS,
  isDeadlineChecked: true,
  reservedShare: 0.34,
  isWeighted: true,
  waitMultiple: 1.5,
  dropMultiple: 2,
  // About five p90 service times in the users' fleets; a longer burst is an overload.
  standingQueueMs: 500,
  // Goals are two to three p90 service times, one of which is the run itself.
  standingWaitMultiple: 0.5,
  standingDropMultiple: 1,
  // Twice the mean time between completions on six slots; with less, slots idle between arrivals.
  minGoalWaitMultiple: 0.35,
  // Drops an admitted request only if the estimate was far off, because its caller has already waited.
  goalDropFactor: 3,
  isShortFirst: true,
  // Nested requests go first, but new work keeps a third of the slots however many of them arrive.
  nestedShare: 0.67,
  isFair: true,
};
