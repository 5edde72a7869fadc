/**
 * Adaptive admission to the slots of one backend server. Its decisions use only its own measurements:
 * the service time of each kind, the age of running requests, and the age of a standing queue.
 */
import type {MessageCode} from '@dottereldrift/core/messages.js';
import type {System} from '@dottereldrift/core/system.js';

import type {AdaptiveOptions} from './adaptive_options.js';
import {CapacityMeter} from './capacity_meter.js';
import {
  ArrivalOrderScheduler,
  type KindScheduler,
  StrideScheduler,
} from './kind_scheduler.js';
import {
  createKindState,
  type KindState,
  type RunningRequest,
} from './kind_state.js';
import {countNested, NestedQuota} from './nested_quota.js';
import {isOverdue} from './overdue.js';
import {SlotReservation} from './slot_reservation.js';
import {SlotQueue} from './slot_queue.js';
import type {SlotPolicy, SlotRequest} from './types.js';
import {WaitEstimator} from './wait_estimator.js';
import type {WaitingRequest} from './waiting_list.js';

const SWEEP_INTERVAL_MS = 20;
/** Lower bound of the limits on waits that are multiples of a service time. */
const MIN_WAIT_LIMIT_MS = 5;
const MIN_RETRY_AFTER_MS = 20;
/** Codes for dropping a waiting request: expired, too late to finish, or queued for too long. */
const DROP_CODES = ['DD3006', 'DD3012', 'DD3025'] as const;
const MAX_RETRY_AFTER_MS = 1_000;

/** Grants slots by service time, deadline, priority and caller. */
export class AdaptivePolicy implements SlotPolicy {
  private readonly kinds = new Map<string, KindState>();
  private readonly queue = new SlotQueue();
  private readonly running = new Set<RunningRequest>();
  private readonly scheduler: KindScheduler;
  /** Separate scheduler for nested requests, so that they do not affect the shares of new work. */
  private readonly nestedScheduler: KindScheduler;
  private readonly waitEstimator: WaitEstimator;
  private readonly nestedWaitEstimator: WaitEstimator;
  private readonly capacityMeter = new CapacityMeter();
  private readonly slotReservation: SlotReservation;
  private readonly nestedQuota: NestedQuota;
  private readonly startedAtMs: number;
  /** Monotonic time at which the queue was last empty. */
  private lastEmptyAtMs: number;
  private isDispatching = false;
  private isSweepScheduled = false;

  constructor(
    private readonly system: System,
    private slots: number,
    private readonly options: AdaptiveOptions,
    private readonly getMaxQueued: () => number,
  ) {
    this.scheduler = createScheduler(options);
    this.nestedScheduler = createScheduler(options);
    this.waitEstimator = new WaitEstimator(this.scheduler);
    this.nestedWaitEstimator = new WaitEstimator(this.nestedScheduler);
    this.slotReservation = new SlotReservation(
      this.kinds,
      options.reservedShare,
    );
    this.nestedQuota = new NestedQuota(this.kinds, options.nestedShare);
    this.startedAtMs = system.getNow().monotonicMs;
    this.lastEmptyAtMs = this.startedAtMs;
  }

  requestSlot(request: SlotRequest): () => void {
    const nowMs = this.system.getNow().monotonicMs;
    const kind = this.getKind(request);
    kind.arrivals.addArrival(nowMs);
    if (request.deadlineAtMs <= nowMs) {
      this.refuse(request, kind, 'DD3006', MIN_RETRY_AFTER_MS);
      return () => {};
    }
    this.dispatchWaiting();
    // A request sent from within a callback of the dispatch loop must not overtake waiting ones.
    const mayStartNow = this.queue.getSize() === 0 || !this.isDispatching;
    if (mayStartNow && this.mayStart(kind, nowMs)) {
      this.startRequest(request, kind, nowMs);
      return () => {};
    }
    return this.addOrRefuse(request, kind, nowMs);
  }

  setSlots(slots: number): void {
    this.slots = slots;
    this.dispatchWaiting();
  }

  getQueued(): number {
    return this.queue.getSize();
  }

  getRunning(): number {
    return this.running.size;
  }

  getReservedSlots(): number {
    const nowMs = this.system.getNow().monotonicMs;
    let maxReserved = 0;
    for (const kind of this.kinds.values())
      maxReserved = Math.max(maxReserved, this.getReservedFor(kind, nowMs));
    return maxReserved;
  }

  getCapacity(): number | undefined {
    return this.capacityMeter.getCapacity(this.slots);
  }

  /** Returns the bytes held by waiting requests. */
  getQueuedBytes(): number {
    return this.queue.getBytes();
  }

  refuseAll(code: MessageCode): void {
    const refused = this.queue.takeWhere(() => true);
    this.refuseEach(refused, code);
  }

  private addOrRefuse(
    request: SlotRequest,
    kind: KindState,
    nowMs: number,
  ): () => void {
    if (this.queue.getSize() === 0) this.lastEmptyAtMs = nowMs;
    const waitMs = this.computeWaitMs(kind, request.caller, nowMs);
    const code =
      this.findWaitRefusal(request, kind, waitMs, nowMs) ??
      this.tryMakeRoom(request, kind);
    if (code !== undefined) {
      this.refuse(request, kind, code, getRetryAfterMs(waitMs));
      return () => {};
    }
    if (kind.waiting.getSize() === 0) this.getScheduler(kind).addKind(kind);
    const remove = this.queue.add(request, kind, nowMs);
    this.startSweep();
    this.dispatchWaiting();
    return remove;
  }

  private findWaitRefusal(
    request: SlotRequest,
    kind: KindState,
    waitMs: number,
    nowMs: number,
  ): MessageCode | undefined {
    const {isDeadlineChecked} = this.options;
    const isOnlyOfKind = kind.running === 0 && kind.waiting.getSize() === 0;
    if (isOnlyOfKind) return undefined;
    const finishAtMs = nowMs + waitMs + kind.estimate.getP90Ms();
    if (isDeadlineChecked && finishAtMs > request.deadlineAtMs) return 'DD3012';
    const limitMs = this.getWaitLimitMs(request, kind, nowMs);
    return waitMs > limitMs ? 'DD3011' : undefined;
  }

  /** Returns the maximum estimated wait at which a new request is admitted. */
  private getWaitLimitMs(
    {goalAtMs}: SlotRequest,
    kind: KindState,
    nowMs: number,
  ): number {
    if (kind.isNested) return Infinity;
    const {waitMultiple, standingWaitMultiple, minGoalWaitMultiple} =
      this.options;
    if (goalAtMs !== undefined) {
      const p90Ms = kind.estimate.getP90Ms();
      return Math.max(goalAtMs - nowMs - p90Ms, minGoalWaitMultiple * p90Ms);
    }
    const multiple = this.isStanding(nowMs)
      ? Math.min(waitMultiple, standingWaitMultiple)
      : waitMultiple;
    return computeLimitMs(kind, multiple);
  }

  /** Makes room by dropping lower-ranked requests, newest first; returns a code if it cannot. */
  private tryMakeRoom(
    request: SlotRequest,
    kind: KindState,
  ): MessageCode | undefined {
    const {maxQueuedBytes} = this.options;
    if (request.bytes > maxQueuedBytes) return 'DD3011';
    for (;;) {
      const hasRoom =
        this.queue.getSize() < this.getMaxQueued() &&
        this.queue.getBytes() + request.bytes <= maxQueuedBytes;
      if (hasRoom) return undefined;
      const victim = this.options.isWeighted
        ? this.queue.takeVictim(kind)
        : undefined;
      if (victim === undefined) return 'DD3011';
      this.refuseEach([victim], 'DD3025');
    }
  }

  private startRequest(
    request: SlotRequest,
    kind: KindState,
    nowMs: number,
  ): void {
    const running: RunningRequest = {kind, startedAtMs: nowMs};
    this.running.add(running);
    kind.running += 1;
    this.getScheduler(kind).recordStart(kind);
    request.onRun(isServed => {
      this.finishRequest(running, isServed);
    });
  }

  private finishRequest(running: RunningRequest, isServed: boolean): void {
    if (!this.running.delete(running)) return;
    const {kind, startedAtMs} = running;
    kind.running -= 1;
    if (isServed) {
      const serviceMs = this.system.getNow().monotonicMs - startedAtMs;
      kind.estimate.observe(serviceMs);
      this.capacityMeter.observe(serviceMs);
    }
    this.dispatchWaiting();
  }

  /** Grants free slots to waiting requests. Reentrant calls return; the running loop covers them. */
  private dispatchWaiting(): void {
    if (this.isDispatching || this.queue.getSize() === 0) return;
    this.isDispatching = true;
    const nowMs = this.system.getNow().monotonicMs;
    while (this.queue.getSize() > 0 && this.running.size < this.slots) {
      const kind = this.chooseKind(nowMs);
      if (kind === undefined) break;
      this.startNext(kind, nowMs);
    }
    this.isDispatching = false;
  }

  private startNext(kind: KindState, nowMs: number): void {
    const waiting = this.queue.take(kind, 'oldest');
    if (waiting === undefined) return;
    const code = this.findDropCode(waiting, kind, nowMs);
    if (code === undefined) this.startRequest(waiting.request, kind, nowMs);
    else this.refuseEach([waiting], code);
  }

  private chooseKind(nowMs: number): KindState | undefined {
    const startable = [...this.queue.getKinds()].filter(kind =>
      this.mayStart(kind, nowMs),
    );
    const isNestedFirst = this.nestedQuota.isBelowQuota(
      this.slots,
      this.running,
    );
    const preferred = startable.filter(kind => kind.isNested === isNestedFirst);
    return this.chooseAmong(
      preferred.length > 0 ? preferred : startable,
      nowMs,
    );
  }

  /** Chooses among kinds that are either all nested or all new work. */
  private chooseAmong(
    kinds: readonly KindState[],
    nowMs: number,
  ): KindState | undefined {
    const [first] = kinds;
    if (first === undefined) return undefined;
    const shortKinds = this.options.isShortFirst
      ? kinds.filter(kind => this.getReservedFor(kind, nowMs) === 0)
      : [];
    return this.getScheduler(first).choose(
      shortKinds.length > 0 ? shortKinds : kinds,
    );
  }

  private getScheduler({isNested}: KindState): KindScheduler {
    return isNested ? this.nestedScheduler : this.scheduler;
  }

  private mayStart(kind: KindState, nowMs: number): boolean {
    const openSlots = this.getOpenSlots(kind, nowMs);
    if (this.running.size < openSlots) return true;
    if (openSlots === this.slots || this.running.size >= this.slots)
      return false;
    let longRunning = 0;
    for (const running of this.running) {
      const isLong = this.getReservedFor(running.kind, nowMs) > 0;
      if (isLong || isOverdue(running, nowMs)) longRunning += 1;
    }
    return longRunning < openSlots;
  }

  /** Returns the slots that are not reserved for kinds shorter than the given one. */
  private getOpenSlots(kind: KindState, nowMs: number): number {
    return this.slots - this.getReservedFor(kind, nowMs);
  }

  private getReservedFor(kind: KindState, nowMs: number): number {
    return this.slotReservation.getReserved(kind, this.slots, nowMs);
  }

  private computeWaitMs(
    kind: KindState,
    caller: string,
    nowMs: number,
  ): number {
    const {isNested} = kind;
    const waiting = [...this.queue.getKinds()];
    const sameClass = waiting.filter(other => other.isNested === isNested);
    const isContended = sameClass.length < waiting.length;
    const estimator = isNested ? this.nestedWaitEstimator : this.waitEstimator;
    return estimator.computeWaitMs(
      {
        kind,
        caller,
        usableSlots: this.getUsableSlots(kind, isContended, nowMs),
        waiting: sameClass,
        running: this.running,
      },
      nowMs,
    );
  }

  /**
   * Returns the slots available to a kind: for new work, those that nested requests do not keep busy;
   * for nested requests, at most their quota while new work waits.
   */
  private getUsableSlots(
    kind: KindState,
    isContended: boolean,
    nowMs: number,
  ): number {
    const openSlots = this.getOpenSlots(kind, nowMs);
    if (!kind.isNested) {
      const nestedDemand = this.nestedQuota.getDemand(this.slots, nowMs);
      return Math.min(openSlots, this.slots - nestedDemand);
    }
    return isContended
      ? Math.min(openSlots, this.nestedQuota.getQuota(this.slots))
      : openSlots;
  }

  private findDropCode(
    {request, arrivedAtMs}: WaitingRequest,
    kind: KindState,
    nowMs: number,
  ): MessageCode | undefined {
    if (request.deadlineAtMs <= nowMs) return 'DD3006';
    const isTooLate =
      this.options.isDeadlineChecked &&
      kind.running > 0 &&
      nowMs + kind.estimate.getMedianMs() > request.deadlineAtMs;
    if (isTooLate) return 'DD3012';
    const limitMs = this.getQueueTimeLimitMs(request, kind, arrivedAtMs, nowMs);
    return nowMs - arrivedAtMs > limitMs ? 'DD3025' : undefined;
  }

  /** Returns the maximum time that a request may wait in the queue. */
  private getQueueTimeLimitMs(
    {goalAtMs}: SlotRequest,
    kind: KindState,
    arrivedAtMs: number,
    nowMs: number,
  ): number {
    if (kind.isNested) return Infinity;
    const {dropMultiple, standingDropMultiple, minGoalWaitMultiple} =
      this.options;
    if (goalAtMs !== undefined) {
      const p90Ms = kind.estimate.getP90Ms();
      const goalWaitMs = goalAtMs - arrivedAtMs - p90Ms;
      const {goalDropFactor} = this.options;
      return goalDropFactor * Math.max(goalWaitMs, minGoalWaitMultiple * p90Ms);
    }
    const multiple = this.isStanding(nowMs)
      ? Math.min(dropMultiple, standingDropMultiple)
      : dropMultiple;
    return computeLimitMs(kind, multiple);
  }

  /** Returns whether the queue has been non-empty for so long that this is not a burst. */
  private isStanding(nowMs: number): boolean {
    const {standingQueueMs} = this.options;
    return standingQueueMs > 0 && nowMs - this.lastEmptyAtMs >= standingQueueMs;
  }

  /** Drops expired requests periodically while any request waits. */
  private startSweep(): void {
    if (this.isSweepScheduled) return;
    this.isSweepScheduled = true;
    this.system.startTimer(SWEEP_INTERVAL_MS, () => {
      this.isSweepScheduled = false;
      this.refuseExpired();
      this.dispatchWaiting();
      if (this.queue.getSize() > 0) this.startSweep();
    });
  }

  private refuseExpired(): void {
    const nowMs = this.system.getNow().monotonicMs;
    for (const code of DROP_CODES) {
      const dropped = this.queue.takeWhere(
        (waiting, kind) => this.findDropCode(waiting, kind, nowMs) === code,
      );
      this.refuseEach(dropped, code);
    }
  }

  private refuseEach(
    refused: readonly WaitingRequest[],
    code: MessageCode,
  ): void {
    for (const {request} of refused)
      this.refuse(request, this.getKind(request), code, MIN_RETRY_AFTER_MS);
  }

  private refuse(
    request: SlotRequest,
    kind: KindState,
    code: MessageCode,
    retryAfterMs: number,
  ): void {
    const nowMs = this.system.getNow().monotonicMs;
    const load = {
      slots: this.slots,
      openSlots: this.getOpenSlots(kind, nowMs),
      running: this.running.size,
      isNested: kind.isNested,
      nestedRunning: countNested(this.running),
      queued: this.queue.getSize(),
    };
    request.onRefuse({code, retryAfterMs, load});
  }

  private getKind(request: SlotRequest): KindState {
    const isNested = request.isNested === true && this.options.nestedShare > 0;
    const key = `${isNested ? 'nested' : 'new'} ${request.kind}`;
    let kind = this.kinds.get(key);
    if (kind === undefined) {
      const {isFair} = this.options;
      kind = createKindState({...request, isNested}, isFair, this.startedAtMs);
      this.kinds.set(key, kind);
    }
    kind.priority = request.priority;
    return kind;
  }
}

function createScheduler({isWeighted}: AdaptiveOptions): KindScheduler {
  return isWeighted ? new StrideScheduler() : new ArrivalOrderScheduler();
}

function getRetryAfterMs(waitMs: number): number {
  const boundedMs = Math.min(MAX_RETRY_AFTER_MS, waitMs);
  return Math.max(MIN_RETRY_AFTER_MS, Math.ceil(boundedMs));
}

/** Returns a multiple of the 90th-percentile service time, or no limit if the multiple is 0. */
function computeLimitMs(kind: KindState, multiple: number): number {
  if (multiple === 0) return Infinity;
  return Math.max(MIN_WAIT_LIMIT_MS, multiple * kind.estimate.getP90Ms());
}
