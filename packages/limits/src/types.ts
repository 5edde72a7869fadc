/**
 * Shapes of admission to the slots of a backend server.
 */
import type {MessageCode} from '@dottereldrift/core/messages.js';

/** A request that asks for a slot. Exactly one of its two callbacks is called, once. */
export interface SlotRequest {
  /** Name of the kind of request. */
  readonly kind: string;
  /** From 0, dropped first, to 9, dropped last. */
  readonly priority: number;
  /** Service time to expect until some has been observed. */
  readonly expectedServiceMs: number;
  /** Monotonic time by which the caller needs the answer. */
  readonly deadlineAtMs: number;
  /** Monotonic time by which the answer is worth most to the caller; absent where none is named. */
  readonly goalAtMs?: number | undefined;
  /** Who asks, for fairness between callers. */
  readonly caller: string;
  /** Bytes held while the request waits. */
  readonly bytes: number;
  /** Whether a run that holds a slot of another server waits for the answer. */
  readonly isNested?: boolean | undefined;
  /** Called when the request has a slot; it ends the slot by calling `finish` once. */
  readonly onRun: (finish: SlotFinish) => void;
  /** Called when the request is refused; it has not been run. */
  readonly onRefuse: (refusal: SlotRefusal) => void;
}

/** Ends a slot. `isServed` is false when the service time says nothing about the server. */
export type SlotFinish = (isServed: boolean) => void;

/** What a policy saw when it refused a request. */
export interface SlotLoad {
  readonly slots: number;
  /** Slots that the kind of the request may take. */
  readonly openSlots: number;
  readonly running: number;
  /** Whether the request counted as nested; absent where the policy does not tell. */
  readonly isNested?: boolean | undefined;
  /** Of the running requests, the nested ones; absent where the policy does not tell. */
  readonly nestedRunning?: number | undefined;
  readonly queued: number;
}

/** Why a request got no slot. */
export interface SlotRefusal {
  readonly code: MessageCode;
  /** Time after which another try is worth while. */
  readonly retryAfterMs: number;
  readonly load: SlotLoad;
}

/** Gives slots to requests. */
export interface SlotPolicy {
  /** Asks for a slot; the returned function withdraws the request while it waits. */
  requestSlot(request: SlotRequest): () => void;
  /** Changes the number of slots. */
  setSlots(slots: number): void;
  /** Requests that wait. */
  getQueued(): number;
  /** Requests that run. */
  getRunning(): number;
  /** Slots that long work may not take at present. */
  getReserved(): number;
  /** Requests a second that the slots can run; undefined until service times were observed. */
  getCapacity(): number | undefined;
  /** Refuses everything that waits, with the reason given. */
  refuseAll(code: MessageCode): void;
}
