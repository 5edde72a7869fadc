/**
 * First-in-first-out slot policy with a bounded queue. It is the baseline for comparisons with other
 * policies.
 */
import type {MessageCode} from '@dottereldrift/core/messages.js';
import type {System} from '@dottereldrift/core/system.js';

import type {SlotPolicy, SlotRequest} from './types.js';

const RETRY_AFTER_MS = 100;

/** Grants slots in the order of arrival. */
export class FifoPolicy implements SlotPolicy {
  private queue: SlotRequest[] = [];
  private running = 0;

  constructor(
    private readonly system: System,
    private slots: number,
    private readonly getMaxQueued: () => number,
  ) {}

  requestSlot(request: SlotRequest): () => void {
    if (this.running < this.slots) {
      this.startRequest(request);
      return () => {};
    }
    if (this.queue.length >= this.getMaxQueued()) {
      this.refuse(request, 'DD3011');
      return () => {};
    }
    this.queue.push(request);
    return () => {
      this.queue = this.queue.filter(other => other !== request);
    };
  }

  setSlots(slots: number): void {
    this.slots = slots;
    this.dispatchWaiting();
  }

  getQueued(): number {
    return this.queue.length;
  }

  getRunning(): number {
    return this.running;
  }

  getReservedSlots(): number {
    return 0;
  }

  getCapacity(): number | undefined {
    return undefined;
  }

  refuseAll(code: MessageCode): void {
    const refused = this.queue;
    this.queue = [];
    for (const request of refused) this.refuse(request, code);
  }

  private refuse(request: SlotRequest, code: MessageCode): void {
    const {slots, running} = this;
    const load = {slots, openSlots: slots, running, queued: this.getQueued()};
    request.onRefuse({code, retryAfterMs: RETRY_AFTER_MS, load});
  }

  private startRequest(request: SlotRequest): void {
    this.running += 1;
    let isFinished = false;
    request.onRun(() => {
      if (isFinished) return;
      isFinished = true;
      this.running -= 1;
      this.dispatchWaiting();
    });
  }

  private dispatchWaiting(): void {
    while (this.running < this.slots) {
      const next = this.queue.shift();
      if (next === undefined) return;
      const nowMs = this.system.getNow().monotonicMs;
      if (next.deadlineAtMs <= nowMs) {
        this.refuse(next, 'DD3006');
      } else {
        this.startRequest(next);
      }
    }
  }
}
