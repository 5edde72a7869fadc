/**
 * The owner's stage of a request: checks lease and slice, looks the idempotency key up, waits for a
 * slot, sends the request to the backend server on this host and notes how it ended.
 */
import {hashKey} from '@dottereldrift/core/ring_hash.js';
import {
  formatMessage,
  type MessageCode,
  type MessageValues,
} from '@dottereldrift/core/messages.js';
import type {System} from '@dottereldrift/core/system.js';
import type {Member, ServiceName} from '@dottereldrift/core/types.js';
import {
  type EntryState,
  IdempotencyWindow,
  type KeptAnswer,
  type WindowEntry,
} from '@dottereldrift/limits/idempotency_window.js';
import type {SlotRefusal} from '@dottereldrift/limits/types.js';
import {SliceGate} from '@dottereldrift/ownership/slice_gate.js';
import {findSlice} from '@dottereldrift/ownership/slices.js';
import {TakeoverWait} from '@dottereldrift/ownership/takeover_wait.js';
import type {
  Assignment,
  Slice,
  SliceRef,
} from '@dottereldrift/ownership/types.js';
import type {AttemptFailure} from '@dottereldrift/routing/types.js';

import type {AttemptResult, Exchange} from './exchange.js';
import {
  getHeader,
  type HeaderMap,
  LEASE_END_HEADER,
  LEASE_END_MONOTONIC_HEADER,
  OUTCOME_HEADER,
  REFUSED_HEADER,
  REMAINING_HEADER,
  SLICE_HEADER,
  TOKEN_HEADER,
} from './headers.js';
import {sendAttempt} from './http_attempt.js';
import type {LocalServer, ServerRegistry} from './server_registry.js';
import type {SessionKeeper} from './session_keeper.js';
import type {Limits} from './settings.js';

/** Time after which a refusal that passes soon is worth another try. */
const SHORT_RETRY_MS = 10;
const REPEAT_RETRY_MS = 50;

interface ServiceState {
  gate: SliceGate;
  window: IdempotencyWindow;
  wait: TakeoverWait;
}

/** A request that has passed the checks. */
interface Admitted {
  readonly exchange: Exchange;
  readonly server: LocalServer;
  /** Undefined where no key decides, so that no slice is needed. */
  readonly slice: Slice | undefined;
  readonly position: number;
  readonly state: ServiceState;
}

/** Runs requests on this host's backend servers. */
export class Owner {
  private readonly services = new Map<ServiceName, ServiceState>();
  private isClosing = false;
  private running = 0;

  constructor(
    private readonly system: System,
    private readonly keeper: SessionKeeper,
    private readonly registry: ServerRegistry,
    private readonly limits: Limits,
  ) {}

  /** Takes over an assignment. */
  applyAssignment(assignment: Assignment): void {
    const {gate, wait} = this.getState(assignment.service);
    gate.applyAssignment(assignment);
    const nowMs = this.system.getNow().monotonicMs;
    const inForce = gate.getAssignment() ?? assignment;
    wait.applyAssignment(inForce, this.keeper.getMember(), nowMs);
  }

  /** Returns the slices that this daemon owns and has not released. */
  getHeldSlices(service: ServiceName): readonly Slice[] {
    return this.services.get(service)?.gate.getHeldSlices() ?? [];
  }

  getAssignment(service: ServiceName): Assignment | undefined {
    return this.services.get(service)?.gate.getAssignment();
  }

  /** Forgets what the ended member owned. */
  resetMember(): void {
    const assignments = [...this.services.values()].map(state =>
      state.gate.getAssignment(),
    );
    this.services.clear();
    for (const assignment of assignments) {
      if (assignment !== undefined) this.applyAssignment(assignment);
    }
  }

  /** Refuses everything from now on; what runs goes on. */
  startClosing(): void {
    this.isClosing = true;
  }

  /** Requests admitted and not yet answered. */
  getRunning(): number {
    return this.running;
  }

  /** Stops admission to slices of an owner; returns those that are idle. */
  releaseSlices(
    service: ServiceName,
    owner: Member,
    refs: readonly SliceRef[],
  ): readonly SliceRef[] {
    if (owner.incarnation !== this.keeper.getMember().incarnation) return [];
    const {gate} = this.getState(service);
    const slices = gate.getAssignment()?.slices ?? [];
    return gate.releaseSlices(refs).filter(ref => {
      const slice = findSlice(slices, ref.start);
      return slice !== undefined && this.isWaitOver(service, slice);
    });
  }

  /** Tells whether a slice that was taken over may be served by a server that checks no tokens. */
  private isWaitOver(service: ServiceName, slice: Slice): boolean {
    const rules = this.registry.getRules(service);
    if (rules === undefined || rules.fencing === 'checked') return true;
    const nowMs = this.system.getNow().monotonicMs;
    return this.getState(service).wait.isOver(slice, rules.maxRunMs, nowMs);
  }

  /** Returns the entries of slices, to be handed over. */
  getEntries(
    service: ServiceName,
    refs: readonly SliceRef[],
  ): readonly WindowEntry[] {
    const {gate, window} = this.getState(service);
    const slices = gate.getAssignment()?.slices ?? [];
    const starts = new Set(refs.map(ref => ref.start));
    return window.findEntries(position =>
      starts.has(findSlice(slices, position)?.start ?? -1),
    );
  }

  /** Takes entries over; false when there is no room. */
  tryAbsorbEntries(
    service: ServiceName,
    entries: readonly WindowEntry[],
  ): boolean {
    return this.getState(service).window.tryAbsorb(
      entries,
      this.system.getNow().monotonicMs,
    );
  }

  /** Handles a request for which this daemon is the owner, or was thought to be. */
  async handle(exchange: Exchange): Promise<AttemptResult> {
    const checked = this.checkAdmission(exchange);
    if ('outcome' in checked) return {kind: 'failed', failure: checked};
    this.running += 1;
    const endGate = startInGate(checked);
    try {
      const result = await this.runOnce(checked);
      if (mayStillRun(exchange, result)) {
        this.system.startTimer(exchange.rules.maxRunMs, endGate);
      } else {
        endGate();
      }
      return result;
    } finally {
      this.running -= 1;
    }
  }

  private checkAdmission(exchange: Exchange): Admitted | AttemptFailure {
    const {service} = exchange.target;
    if (this.isClosing) return refuse('DD3021', SHORT_RETRY_MS);
    if (!this.keeper.isHeld()) return refuse('DD3016', SHORT_RETRY_MS);
    const server = this.registry.getServer(service);
    if (server === undefined || this.registry.isClosed(service))
      return refuse('DD3024', SHORT_RETRY_MS, {service});
    const state = this.getState(service);
    const position = getPosition(exchange);
    if (position === undefined)
      return {exchange, server, slice: undefined, position: 0, state};
    const answer = state.gate.checkPosition(position);
    if (answer.kind === 'not-owned') {
      return {...refuse('DD3017', 0), ownerGeneration: answer.generation};
    }
    if (
      answer.kind === 'moving' ||
      !this.registry.isGranted(service, answer.slice) ||
      !this.isWaitOver(service, answer.slice)
    ) {
      return refuse('DD3005', SHORT_RETRY_MS);
    }
    return {exchange, server, slice: answer.slice, position, state};
  }

  private async runOnce(admitted: Admitted): Promise<AttemptResult> {
    const {exchange, state, position} = admitted;
    const {idempotencyKey} = exchange;
    if (idempotencyKey === undefined || exchange.kind.idempotent)
      return this.runInSlot(admitted);
    const nowMs = this.system.getNow().monotonicMs;
    const looked = state.window.startRequest(idempotencyKey, position, nowMs);
    if (looked.kind === 'full') return fail(refuse('DD3019', REPEAT_RETRY_MS));
    if (looked.kind === 'known') return answerRepeat(exchange, looked.state);
    if (mayHaveRunBefore(exchange, admitted.slice)) {
      state.window.finishRequest(idempotencyKey, {kind: 'unknown'});
      return fail({...refuse('DD3018', 0), outcome: 'unknown'});
    }
    const result = await this.runInSlot(admitted);
    recordEnd(state.window, idempotencyKey, result);
    return result;
  }

  private runInSlot(admitted: Admitted): Promise<AttemptResult> {
    const {exchange, server} = admitted;
    return new Promise(resolve => {
      let withdraw = () => {};
      const leave = () => {
        forget();
        withdraw();
        resolve(fail(refuse('DD3022', 0)));
      };
      const forget = addToGate(admitted, () => {
        exchange.abandonment.removeListener(leave);
        withdraw();
        resolve(fail(refuse('DD3005', SHORT_RETRY_MS)));
      });
      exchange.abandonment.addListener(leave);
      withdraw = server.policy.requestSlot({
        kind: exchange.kind.name,
        priority: exchange.kind.priority,
        expectedServiceMs: exchange.kind.expectedServiceMs,
        deadlineAtMs: exchange.deadlineAtMs,
        caller: exchange.caller,
        bytes:
          exchange.body.kind === 'buffered'
            ? exchange.body.bytes.byteLength
            : 0,
        onRun: finish => {
          forget();
          exchange.abandonment.removeListener(leave);
          void this.sendToServer(admitted).then(result => {
            finish(result.kind === 'answered');
            resolve(result);
          });
        },
        onRefuse: refusal => {
          forget();
          exchange.abandonment.removeListener(leave);
          resolve(fail(createRefusal(exchange, refusal)));
        },
      });
    });
  }

  private async sendToServer(admitted: Admitted): Promise<AttemptResult> {
    const {exchange, server, slice} = admitted;
    const {service} = exchange.target;
    if (!this.keeper.isHeld()) return fail(refuse('DD3016', SHORT_RETRY_MS));
    if (slice !== undefined && !this.registry.isGranted(service, slice))
      return fail(refuse('DD3005', SHORT_RETRY_MS));
    const nowMs = this.system.getNow().monotonicMs;
    const isKept =
      exchange.idempotencyKey !== undefined && !exchange.kind.idempotent;
    return sendAttempt(this.system, {
      dispatcher: server.pool,
      peerName: `the backend server of ${exchange.target.service}`,
      method: exchange.method,
      path: exchange.target.path,
      headers: {
        ...exchange.headers,
        [REMAINING_HEADER]: String(
          Math.max(0, Math.round(exchange.deadlineAtMs - nowMs)),
        ),
        ...this.createFencingHeaders(service, slice),
      },
      body: exchange.body,
      giveUpAtMs: exchange.deadlineAtMs,
      deadlineMs: Math.round(
        exchange.deadlineAtMs - exchange.receivedAt.monotonicMs,
      ),
      abandonment: exchange.abandonment,
      answer: exchange.answer,
      readFailure: readServerRefusal,
      answerHeaders: {[OUTCOME_HEADER]: 'completed'},
      keepBytes: isKept ? this.limits.keptAnswerBytes : 0,
    });
  }

  private createFencingHeaders(
    service: ServiceName,
    slice: Slice | undefined,
  ): Record<string, string> {
    const end = this.registry.getGrantEnd(service, slice);
    const lease = {
      [LEASE_END_HEADER]: String(Math.floor(end.wallMs)),
      [LEASE_END_MONOTONIC_HEADER]: String(Math.floor(end.monotonicMs)),
    };
    if (slice === undefined) return lease;
    return {
      ...lease,
      [SLICE_HEADER]: String(slice.start),
      [TOKEN_HEADER]: String(slice.token),
    };
  }

  private getState(service: ServiceName): ServiceState {
    const present = this.services.get(service);
    if (present !== undefined) return present;
    const state = {
      gate: new SliceGate(this.keeper.getMember()),
      window: new IdempotencyWindow({
        maxEntries: this.limits.idempotencyEntries,
        maxBytes: this.limits.idempotencyBytes,
        retentionMs: this.limits.idempotencyRetentionMs,
      }),
      wait: new TakeoverWait(),
    };
    this.services.set(service, state);
    return state;
  }
}

/**
 * Returns the ring position that decides the owner of a request: its key's, or for a service that is
 * not divided by key its idempotency key's, if repeats must be recognized.
 */
export function getPosition(
  exchange: Pick<Exchange, 'rules' | 'target' | 'idempotencyKey' | 'kind'>,
): number | undefined {
  const {rules, target, idempotencyKey, kind} = exchange;
  if (rules.division === 'byKey')
    return target.key === undefined ? undefined : hashKey(target.key);
  if (idempotencyKey === undefined || kind.idempotent) return undefined;
  return hashKey(idempotencyKey);
}

/**
 * Tells whether a request that this owner has no record of may have run under an earlier one: it was
 * first routed before the records that this owner has begin.
 */
function mayHaveRunBefore(
  exchange: Exchange,
  slice: Slice | undefined,
): boolean {
  if (slice === undefined) return false;
  const {firstGeneration} = exchange;
  return firstGeneration !== undefined && firstGeneration < slice.recordsSince;
}

/** Counts a request that needs a slice; the returned function ends it. */
function startInGate(admitted: Admitted): () => void {
  const {slice, position, state} = admitted;
  return slice === undefined ? () => {} : state.gate.startRequest(position);
}

/** Lets a release hand a waiting request back; the returned function forgets it. */
function addToGate(admitted: Admitted, handBack: () => void): () => void {
  const {slice, position, state} = admitted;
  return slice === undefined
    ? () => {}
    : state.gate.addWaiting(position, handBack);
}

/** Tells whether a server that checks no tokens may go on with a request whose answer was lost. */
function mayStillRun(exchange: Exchange, result: AttemptResult): boolean {
  if (exchange.rules.fencing === 'checked') return false;
  return result.kind === 'answered'
    ? result.isCut
    : result.failure.outcome === 'unknown';
}

function answerRepeat(exchange: Exchange, state: EntryState): AttemptResult {
  if (state.kind === 'running') {
    return fail({...refuse('DD3020', REPEAT_RETRY_MS), outcome: 'unknown'});
  }
  if (state.kind === 'unknown')
    return fail({...refuse('DD3018', 0), outcome: 'unknown'});
  return replayAnswer(exchange, state.answer);
}

function replayAnswer(exchange: Exchange, kept: KeptAnswer): AttemptResult {
  const headers: Record<string, string | string[]> = {
    [OUTCOME_HEADER]: 'completed',
  };
  if (kept.body === undefined) {
    return fail({...refuse('DD3027', 0), outcome: 'unknown'});
  }
  for (let index = 0; index + 1 < kept.headerPairs.length; index += 2) {
    headers[kept.headerPairs[index] ?? ''] = kept.headerPairs[index + 1] ?? '';
  }
  exchange.answer.startAnswer(kept.status, headers);
  exchange.answer.writeChunk(Buffer.from(kept.body));
  exchange.answer.endAnswer();
  return {kind: 'answered', status: kept.status, isCut: false};
}

function recordEnd(
  window: IdempotencyWindow,
  key: string,
  result: AttemptResult,
): void {
  if (result.kind === 'failed' && result.failure.outcome === 'not-run') {
    window.cancelRequest(key);
  } else if (result.kind === 'failed') {
    window.finishRequest(key, {kind: 'unknown'});
  } else {
    const {status, kept} = result;
    const answer = {
      status,
      headerPairs: kept?.headerPairs ?? [],
      body: kept?.body,
    };
    window.finishRequest(key, {kind: 'finished', answer});
  }
}

function readServerRefusal(
  _status: number,
  headers: HeaderMap,
): AttemptFailure | undefined {
  if (getHeader(headers, REFUSED_HEADER) !== 'not-run') return undefined;
  return refuse('DD3010', SHORT_RETRY_MS);
}

function createRefusal(
  exchange: Exchange,
  refusal: SlotRefusal,
): AttemptFailure {
  const deadlineMs = Math.round(
    exchange.deadlineAtMs - exchange.receivedAt.monotonicMs,
  );
  const {service} = exchange.target;
  return refuse(refusal.code, refusal.retryAfterMs, {
    service,
    host: 'its owner',
    deadlineMs,
  });
}

function refuse(
  code: MessageCode,
  retryAfterMs: number,
  values: MessageValues = {},
): AttemptFailure {
  return {
    outcome: 'not-run',
    code,
    text: formatMessage(code, values),
    retryAfterMs,
  };
}

function fail(failure: AttemptFailure): AttemptResult {
  return {kind: 'failed', failure};
}
