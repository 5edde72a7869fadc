/**
 * Types for admission to the slots of a backend server.
 */
import type {MessageCode} from '@dottereldrift/core/messages.js';

/** A request for a slot. Exactly one of its two callbacks is called, exactly once. */
export interface SlotRequest {
  /** Name of the kind of request. */
  readonly kind: string;
  /** From 0 (dropped first) to 9 (dropped last). */
  readonly priority: number;
  /** Estimate of the service time until one has been measured. */
  readonly expectedServiceMs: number;
  /** Monotonic time by which the caller needs the answer. */
  readonly deadlineAtMs: number;
  /** Monotonic time after which the answer is worth less to the caller, if a goal is configured. */
  readonly goalAtMs?: number | undefined;
  /** Identity of the caller, for fairness between callers. */
  readonly caller: string;
  /** Bytes held while the request waits. */
  readonly bytes: number;
  /** Whether the request is sent by a run that holds a slot of another server until the answer. */
  readonly isNested?: boolean | undefined;
  /** Called when the request gets a slot. Calling `finish` once frees the slot. */
  readonly onRun: (finish: SlotFinish) => void;
  /** Called when the request is refused; it has not run. */
  readonly onRefuse: (refusal: SlotRefusal) => void;
}

/** Frees a slot. `isServed` is false if the service time must not count as a measurement. */
export type SlotFinish = (isServed: boolean) => void;

/** Load of the server at the time when a request was refused. */
export interface SlotLoad {
  readonly slots: number;
  /** Slots that are not reserved for shorter kinds of requests. */
  readonly openSlots: number;
  readonly running: number;
  /** Whether the request was treated as nested; absent if the policy makes no difference. */
  readonly isNested?: boolean | undefined;
  /** Number of running requests that are nested; absent if the policy makes no difference. */
  readonly nestedRunning?: number | undefined;
  readonly queued: number;
}

/** Why a request was refused, and when to retry. */
export interface SlotRefusal {
  readonly code: MessageCode;
  /** Time to wait before a retry. */
  readonly retryAfterMs: number;
  readonly load: SlotLoad;
}

/** Decides which requests get the slots of one server, and when. */
export interface SlotPolicy {
  /** Requests a slot. The returned function withdraws the request if it still waits. */
  requestSlot(request: SlotRequest): () => void;
  /** Changes the total number of slots. */
  setSlots(slots: number): void;
  /** Returns the number of waiting requests. */
  getQueued(): number;
  /** Returns the number of running requests. */
  getRunning(): number;
  /** Returns the slots that are currently reserved for short kinds of requests. */
  getReservedSlots(): number;
  /** Returns requests per second that the slots can run, or undefined if not yet known. */
  getCapacity(): number | undefined;
  /** Refuses all waiting requests with the given code. */
  refuseAll(code: MessageCode): void;
}
