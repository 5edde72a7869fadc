/**
 * Admission to the slots of one backend server. It rests on what it measures itself: the service time
 * of each kind, how long running requests have already run, and how long a queue has stood.
 */
import type {MessageCode} from '@dottereldrift/core/messages.js';
import type {System} from '@dottereldrift/core/system.js';

import type {AdaptiveOptions} from './adaptive_options.js';
import {CapacityMeter} from './capacity_meter.js';
import {ArrivalOrder, type KindOrder, WeightedOrder} from './kind_order.js';
import {
  createKindState,
  type KindState,
  type RunningRequest,
} from './kind_state.js';
import {countNested, NestedWork} from './nested_work.js';
import {isOverdue} from './overdue.js';
import {ShortWork} from './short_work.js';
import {SlotQueue} from './slot_queue.js';
import type {SlotPolicy, SlotRequest} from './types.js';
import {WaitEstimator} from './wait_estimator.js';
import type {Waiting} from './waiting_list.js';

const SWEEP_INTERVAL_MS = 20;
/** Waits that are shorter are never refused for their length. */
const MIN_BOUND_MS = 5;
const MIN_RETRY_AFTER_MS = 20;
/** Why a request that waits is refused: expired, too late to finish, or waiting too long. */
const DROP_CODES = ['DD3006', 'DD3012', 'DD3025'] as const;
const MAX_RETRY_AFTER_MS = 1_000;

/** Slots given by service time, deadline, priority and caller. */
export class AdaptivePolicy implements SlotPolicy {
  private readonly kinds = new Map<string, KindState>();
  private readonly queue = new SlotQueue();
  private readonly running = new Set<RunningRequest>();
  private readonly order: KindOrder;
  /** Order among nested requests, so that they leave that of new work as it is. */
  private readonly nestedOrder: KindOrder;
  private readonly estimator: WaitEstimator;
  private readonly nestedEstimator: WaitEstimator;
  private readonly meter = new CapacityMeter();
  private readonly shortWork: ShortWork;
  private readonly nestedWork: NestedWork;
  private readonly startedAtMs: number;
  /** Time at which the queue was last empty. */
  private emptyAtMs: number;
  private isStarting = false;
  private isSweeping = false;

  constructor(
    private readonly system: System,
    private slots: number,
    private readonly options: AdaptiveOptions,
    private readonly getMaxQueued: () => number,
  ) {
    this.order = createOrder(options);
    this.nestedOrder = createOrder(options);
    this.estimator = new WaitEstimator(this.order);
    this.nestedEstimator = new WaitEstimator(this.nestedOrder);
    this.shortWork = new ShortWork(this.kinds, options.reservedShare);
    this.nestedWork = new NestedWork(this.kinds, options.nestedShare);
    this.startedAtMs = system.getNow().monotonicMs;
    this.emptyAtMs = this.startedAtMs;
  }

  requestSlot(request: SlotRequest): () => void {
    const nowMs = this.system.getNow().monotonicMs;
    const kind = this.getKind(request);
    kind.arrivals.addArrival(nowMs);
    if (request.deadlineAtMs <= nowMs) {
      this.refuse(request, kind, 'DD3006', MIN_RETRY_AFTER_MS);
      return () => {};
    }
    this.startWaiting();
    const hasTurn = this.queue.getSize() === 0 || !this.isStarting;
    if (hasTurn && this.mayStart(kind, nowMs)) {
      this.startRequest(request, kind, nowMs);
      return () => {};
    }
    return this.addOrRefuse(request, kind, nowMs);
  }

  setSlots(slots: number): void {
    this.slots = slots;
    this.startWaiting();
  }

  getQueued(): number {
    return this.queue.getSize();
  }

  getRunning(): number {
    return this.running.size;
  }

  getReserved(): number {
    const nowMs = this.system.getNow().monotonicMs;
    let most = 0;
    for (const kind of this.kinds.values())
      most = Math.max(most, this.getReservedFor(kind, nowMs));
    return most;
  }

  getCapacity(): number | undefined {
    return this.meter.getCapacity(this.slots);
  }

  /** Bytes of the requests that wait. */
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
    if (this.queue.getSize() === 0) this.emptyAtMs = nowMs;
    const waitMs = this.computeWaitMs(kind, request.caller, nowMs);
    const code =
      this.findTimeRefusal(request, kind, waitMs, nowMs) ??
      this.findSpaceRefusal(request, kind);
    if (code !== undefined) {
      this.refuse(request, kind, code, getRetryAfterMs(waitMs));
      return () => {};
    }
    if (kind.waiting.getSize() === 0) this.getOrder(kind).addKind(kind);
    const remove = this.queue.add(request, kind, nowMs);
    this.startSweep();
    this.startWaiting();
    return remove;
  }

  private findTimeRefusal(
    request: SlotRequest,
    kind: KindState,
    waitMs: number,
    nowMs: number,
  ): MessageCode | undefined {
    const {isDeadlineChecked} = this.options;
    const isFirst = kind.running === 0 && kind.waiting.getSize() === 0;
    if (isFirst) return undefined;
    const finishAtMs = nowMs + waitMs + kind.estimate.getUsualMs();
    if (isDeadlineChecked && finishAtMs > request.deadlineAtMs) return 'DD3012';
    const boundMs = this.getWaitBoundMs(request, kind, nowMs);
    return waitMs > boundMs ? 'DD3011' : undefined;
  }

  /** Returns the longest wait that a new request may expect, in milliseconds. */
  private getWaitBoundMs(
    {goalAtMs}: SlotRequest,
    kind: KindState,
    nowMs: number,
  ): number {
    if (kind.isNested) return Infinity;
    const {waitMultiple, standingWaitMultiple, goalFloor} = this.options;
    if (goalAtMs !== undefined) {
      const usualMs = kind.estimate.getUsualMs();
      return Math.max(goalAtMs - nowMs - usualMs, goalFloor * usualMs);
    }
    const multiple = this.isStanding(nowMs)
      ? Math.min(waitMultiple, standingWaitMultiple)
      : waitMultiple;
    return getBoundMs(kind, multiple);
  }

  /** Makes room by dropping requests of lower rank, the newest first. */
  private findSpaceRefusal(
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
    this.getOrder(kind).recordStart(kind);
    request.onRun(isServed => {
      this.finishRequest(running, isServed);
    });
  }

  private finishRequest(running: RunningRequest, isServed: boolean): void {
    if (!this.running.delete(running)) return;
    const {kind, startedAtMs} = running;
    kind.running -= 1;
    if (isServed) {
      const servedMs = this.system.getNow().monotonicMs - startedAtMs;
      kind.estimate.observe(servedMs);
      this.meter.observe(servedMs);
    }
    this.startWaiting();
  }

  /** Gives free slots to waiting requests. Calls from within callbacks are taken up by the loop. */
  private startWaiting(): void {
    if (this.isStarting || this.queue.getSize() === 0) return;
    this.isStarting = true;
    const nowMs = this.system.getNow().monotonicMs;
    while (this.queue.getSize() > 0 && this.running.size < this.slots) {
      const kind = this.chooseKind(nowMs);
      if (kind === undefined) break;
      this.startNext(kind, nowMs);
    }
    this.isStarting = false;
  }

  private startNext(kind: KindState, nowMs: number): void {
    const waiting = this.queue.take(kind, 'oldest');
    if (waiting === undefined) return;
    const code = this.findDropReason(waiting, kind, nowMs);
    if (code === undefined) this.startRequest(waiting.request, kind, nowMs);
    else this.refuseEach([waiting], code);
  }

  private chooseKind(nowMs: number): KindState | undefined {
    const startable = [...this.queue.getKinds()].filter(kind =>
      this.mayStart(kind, nowMs),
    );
    const isNestedFirst = this.nestedWork.isFirst(this.slots, this.running);
    const first = startable.filter(kind => kind.isNested === isNestedFirst);
    return this.chooseAmong(first.length > 0 ? first : startable, nowMs);
  }

  /** Chooses among kinds that are all nested or all new work. */
  private chooseAmong(
    kinds: readonly KindState[],
    nowMs: number,
  ): KindState | undefined {
    const [first] = kinds;
    if (first === undefined) return undefined;
    const short = this.options.isShortFirst
      ? kinds.filter(kind => this.getReservedFor(kind, nowMs) === 0)
      : [];
    return this.getOrder(first).choose(short.length > 0 ? short : kinds);
  }

  private getOrder({isNested}: KindState): KindOrder {
    return isNested ? this.nestedOrder : this.order;
  }

  private mayStart(kind: KindState, nowMs: number): boolean {
    const open = this.getOpenSlots(kind, nowMs);
    if (this.running.size < open) return true;
    if (open === this.slots || this.running.size >= this.slots) return false;
    let long = 0;
    for (const running of this.running) {
      const isLong = this.getReservedFor(running.kind, nowMs) > 0;
      if (isLong || isOverdue(running, nowMs)) long += 1;
    }
    return long < open;
  }

  /** Returns the slots that a kind may take. */
  private getOpenSlots(kind: KindState, nowMs: number): number {
    return this.slots - this.getReservedFor(kind, nowMs);
  }

  private getReservedFor(kind: KindState, nowMs: number): number {
    return this.shortWork.getReserved(kind, this.slots, nowMs);
  }

  private computeWaitMs(
    kind: KindState,
    caller: string,
    nowMs: number,
  ): number {
    const {isNested} = kind;
    const waiting = [...this.queue.getKinds()];
    const alike = waiting.filter(other => other.isNested === isNested);
    const isContended = alike.length < waiting.length;
    const estimator = isNested ? this.nestedEstimator : this.estimator;
    return estimator.computeWaitMs(
      {
        kind,
        caller,
        slots: this.getUsableSlots(kind, isContended, nowMs),
        waiting: alike,
        running: this.running,
      },
      nowMs,
    );
  }

  /** Returns the slots that a kind may count on beside nested requests, or as one of them. */
  private getUsableSlots(
    kind: KindState,
    isContended: boolean,
    nowMs: number,
  ): number {
    const openSlots = this.getOpenSlots(kind, nowMs);
    if (!kind.isNested) {
      const nested = this.nestedWork.getDemand(this.slots, nowMs);
      return Math.min(openSlots, this.slots - nested);
    }
    return isContended
      ? Math.min(openSlots, this.nestedWork.getMost(this.slots))
      : openSlots;
  }

  private findDropReason(
    {request, arrivedAtMs}: Waiting,
    kind: KindState,
    nowMs: number,
  ): MessageCode | undefined {
    if (request.deadlineAtMs <= nowMs) return 'DD3006';
    const isHopeless =
      this.options.isDeadlineChecked &&
      kind.running > 0 &&
      nowMs + kind.estimate.getTypicalMs() > request.deadlineAtMs;
    if (isHopeless) return 'DD3012';
    const boundMs = this.getDropBoundMs(request, kind, arrivedAtMs, nowMs);
    return nowMs - arrivedAtMs > boundMs ? 'DD3025' : undefined;
  }

  /** Returns the longest time that a request waits, in milliseconds. */
  private getDropBoundMs(
    {goalAtMs}: SlotRequest,
    kind: KindState,
    arrivedAtMs: number,
    nowMs: number,
  ): number {
    if (kind.isNested) return Infinity;
    const {dropMultiple, standingDropMultiple, goalFloor} = this.options;
    if (goalAtMs !== undefined) {
      const usualMs = kind.estimate.getUsualMs();
      const goalWaitMs = goalAtMs - arrivedAtMs - usualMs;
      const {goalDropFactor} = this.options;
      return goalDropFactor * Math.max(goalWaitMs, goalFloor * usualMs);
    }
    const multiple = this.isStanding(nowMs)
      ? Math.min(dropMultiple, standingDropMultiple)
      : dropMultiple;
    return getBoundMs(kind, multiple);
  }

  /** Tells whether the queue has had no end for so long that it absorbs no burst any more. */
  private isStanding(nowMs: number): boolean {
    const {standingMs} = this.options;
    return standingMs > 0 && nowMs - this.emptyAtMs >= standingMs;
  }

  /** While requests wait, looks now and then for those whose time has passed. */
  private startSweep(): void {
    if (this.isSweeping) return;
    this.isSweeping = true;
    this.system.startTimer(SWEEP_INTERVAL_MS, () => {
      this.isSweeping = false;
      this.refuseOverdue();
      this.startWaiting();
      if (this.queue.getSize() > 0) this.startSweep();
    });
  }

  private refuseOverdue(): void {
    const nowMs = this.system.getNow().monotonicMs;
    for (const code of DROP_CODES) {
      const dropped = this.queue.takeWhere(
        (waiting, kind) => this.findDropReason(waiting, kind, nowMs) === code,
      );
      this.refuseEach(dropped, code);
    }
  }

  private refuseEach(refused: readonly Waiting[], code: MessageCode): void {
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

function createOrder({isWeighted}: AdaptiveOptions): KindOrder {
  return isWeighted ? new WeightedOrder() : new ArrivalOrder();
}

function getRetryAfterMs(waitMs: number): number {
  const boundedMs = Math.min(MAX_RETRY_AFTER_MS, waitMs);
  return Math.max(MIN_RETRY_AFTER_MS, Math.ceil(boundedMs));
}

/** A multiple of the usual service time; no bound when the multiple is 0. */
function getBoundMs(kind: KindState, multiple: number): number {
  if (multiple === 0) return Infinity;
  return Math.max(MIN_BOUND_MS, multiple * kind.estimate.getUsualMs());
}
