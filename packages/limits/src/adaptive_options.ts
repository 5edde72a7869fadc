/**
 * The parts of the adaptive policy, each of which can be left out, so that a benchmark measures it
 * alone.
 */

/** Which parts are in use, and the bound of the bytes that wait. */
export interface AdaptiveOptions {
  readonly maxQueuedBytes: number;
  /** Refuses at once what cannot finish before its deadline. */
  readonly isDeadlineChecked: boolean;
  /** Largest share of the slots that long work leaves to short work; 0 for none. */
  readonly reservedShare: number;
  /** Divides slot time by priority when requests wait. */
  readonly isWeighted: boolean;
  /** Longest wait that a new request may expect, in multiples of its usual service time; 0 for any. */
  readonly waitMultiple: number;
  /** Longest time that a request waits, in multiples of its usual service time; 0 for any. */
  readonly dropMultiple: number;
  /**
   * Time after which a queue that has not been empty absorbs no burst any more, in milliseconds: from
   * then on the two multiples are at most the ones below; 0 for never. Under lasting overload a long
   * queue serves no more requests than a short one, and all of them late.
   */
  readonly standingMs: number;
  /** Longest wait that a new request may expect in a queue that stands. */
  readonly standingWaitMultiple: number;
  /** Longest time that a request waits in a queue that stands. */
  readonly standingDropMultiple: number;
  /**
   * Wait in usual service times that a request with a goal may always expect, also where it cannot be
   * answered by its goal: it keeps the slots busy. Longer it waits only if it can be.
   */
  readonly goalFloor: number;
  /** Times the longest wait that it may expect for which a request with a goal really waits. */
  readonly goalDropFactor: number;
  /** Serves short work before long work that waits: calls of servers hold a slot elsewhere meanwhile. */
  readonly isShortFirst: boolean;
  /** Share of the slots that nested requests are given before others; 0 for no difference. */
  readonly nestedShare: number;
  /** Gives callers turns. */
  readonly isFair: boolean;
}

const MEBIBYTE = 1_024 * 1_024;

/** A bounded queue in the order of arrival, and nothing else. */
export const PLAIN_OPTIONS: AdaptiveOptions = {
  maxQueuedBytes: 16 * MEBIBYTE,
  isDeadlineChecked: false,
  reservedShare: 0,
  isWeighted: false,
  waitMultiple: 0,
  dropMultiple: 0,
  standingMs: 0,
  standingWaitMultiple: 0,
  standingDropMultiple: 0,
  goalFloor: 0,
  goalDropFactor: 0,
  isShortFirst: false,
  nestedShare: 0,
  isFair: false,
};

/** The parts that daemons use. */
export const ADAPTIVE_OPTIONS: AdaptiveOptions = {
  ...PLAIN_OPTIONS,
  isDeadlineChecked: true,
  reservedShare: 0.34,
  isWeighted: true,
  waitMultiple: 1.5,
  dropMultiple: 2,
  // Some five usual service times of the users: a burst that lasts longer is an overload.
  standingMs: 500,
  // Goals are two to three usual service times, of which a run takes one.
  standingWaitMultiple: 0.5,
  standingDropMultiple: 1,
  // Twice the time between two ends of work on six slots: with less, slots are idle between arrivals.
  goalFloor: 0.35,
  // A request that was let in is sent away only if the estimate was far off: its caller has waited by then.
  goalDropFactor: 3,
  isShortFirst: true,
  // Two thirds: what runs elsewhere wait for goes first, and new work keeps a third under any flood of it.
  nestedShare: 0.67,
  isFair: true,
};
