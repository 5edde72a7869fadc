/**
 * The owner stage of a request: checks lease and slice, looks up the idempotency key, waits for a slot, sends
 * the request to the backend server on this host and records its outcome.
 */
import {isSameMember} from '@dottereldrift/core/member.js';
import type {System} from '@dottereldrift/core/system.js';
import type {Member, ServiceName} from '@dottereldrift/core/types.js';
import type {EgressAdmission} from '@dottereldrift/limits/egress_admission.js';
import type {WindowEntry} from '@dottereldrift/limits/idempotency_window.js';
import {SliceGate} from '@dottereldrift/ownership/slice_gate.js';
import {findSlice} from '@dottereldrift/ownership/slices.js';
import {TakeoverWait} from '@dottereldrift/ownership/takeover_wait.js';
import type {
  Assignment,
  Slice,
  SliceRef,
} from '@dottereldrift/ownership/types.js';
import {AnswerSizes} from '@dottereldrift/routing/answer_sizes.js';
import {
  type HostCounts,
  NestedKindDetector,
} from '@dottereldrift/routing/nested_kind_detector.js';
import type {AttemptFailure} from '@dottereldrift/routing/types.js';

import {
  addWaitingRequest,
  type AdmissionListener,
  type AdmittedRequest,
  type RefusalListener,
  type ServiceState,
  startSliceRequest,
} from './admission.js';
import {
  type ProtocolOptions,
  createAnswerHeaders,
  createRefusal,
  createRoutedOptions,
  getGoalAtMs,
  mayStillRun,
  readServerRefusal,
} from './protocol_options.js';
import type {AttemptResult, Exchange} from './exchange.js';
import {
  createInternalError,
  createFailedResult,
  createNotRunFailure,
  SHORT_RETRY_MS,
} from './failures.js';
import {
  LEASE_END_HEADER,
  LEASE_END_MONOTONIC_HEADER,
  REMAINING_HEADER,
  SLICE_HEADER,
  TOKEN_HEADER,
} from './headers.js';
import {sendAttempt} from './http_attempt.js';
import {IdempotencyGuard} from './idempotency_guard.js';
import {getPosition} from './request_position.js';
import type {ServerRegistry} from './server_registry.js';
import type {SessionManager} from './session_manager.js';
import type {Limits} from './settings.js';

/** Session state that an owner reads. */
export type LeaseView = Pick<SessionManager, 'isHeld' | 'getMember' | 'getEnd'>;

/** State of the backend servers on this host that an owner reads. */
export type ServerView = Pick<
  ServerRegistry,
  'getServer' | 'getRules' | 'isGranted' | 'isAccepting' | 'getGrantEnd'
>;

/** Runs requests on this host's backend servers. */
export class Owner {
  private readonly services = new Map<ServiceName, ServiceState>();
  private readonly nestedKinds: NestedKindDetector;
  private isClosing = false;
  private running = 0;
  private onAdmission: AdmissionListener = () => {};
  private onRefusal: RefusalListener = () => {};

  /** Sizes of the responses of this host's servers. */
  private readonly responseSizes = new AnswerSizes();

  constructor(
    private readonly system: System,
    private readonly sessionManager: LeaseView,
    private readonly registry: ServerView,
    private readonly limits: Limits,
    countHosts: () => HostCounts = () => new Map(),
    /** Undefined when this host's responses are not paced. */
    private readonly egress?: EgressAdmission,
  ) {
    this.nestedKinds = new NestedKindDetector(countHosts);
  }

  /** Sets the listener that is called for each request that is admitted to a slice. */
  setAdmissionListener(listener: AdmissionListener): void {
    this.onAdmission = listener;
  }

  /** Sets the listener that is called for each request that is refused a slot. */
  setRefusalListener(listener: RefusalListener): void {
    this.onRefusal = listener;
  }

  /** Applies a new assignment to the state of its service. */
  applyAssignment(assignment: Assignment): void {
    const {gate, guard, wait} = this.getState(assignment.service);
    gate.applyAssignment(assignment);
    guard.applyAssignment(assignment);
    const nowMs = this.system.getNow().monotonicMs;
    const current = gate.getAssignment() ?? assignment;
    wait.applyAssignment(current, this.sessionManager.getMember(), nowMs);
  }

  /** Returns the slices that this daemon owns and has not released. */
  getHeldSlices(service: ServiceName): readonly Slice[] {
    if (this.isClosing && this.running === 0) return [];
    return this.services.get(service)?.gate.getHeldSlices() ?? [];
  }

  /** Returns the slices that this daemon owns and has released. */
  getReleasedSlices(service: ServiceName): readonly Slice[] {
    return this.services.get(service)?.gate.getReleasedSlices() ?? [];
  }

  getAssignment(service: ServiceName): Assignment | undefined {
    return this.services.get(service)?.gate.getAssignment();
  }

  /** Discards the state of a member that has ended and applies its assignments to the new member. */
  resetMember(): void {
    const assignments = [...this.services.values()].map(state =>
      state.gate.getAssignment(),
    );
    this.services.clear();
    for (const assignment of assignments) {
      if (assignment !== undefined) this.applyAssignment(assignment);
    }
  }

  /** Tells whether a planned move transfers slices to this daemon. */
  isExpecting(service: ServiceName): boolean {
    const slices = this.services.get(service)?.gate.getAssignment()?.slices;
    return (
      slices?.some(
        ({nextOwner}) =>
          nextOwner !== undefined && this.isCurrentMember(nextOwner),
      ) === true
    );
  }

  /** Refuses new requests from now on; requests that are running continue. */
  startClosing(): void {
    this.isClosing = true;
  }

  /** Returns the number of requests that are admitted and not yet finished. */
  getRunningCount(): number {
    return this.running;
  }

  /** Tells whether a member is the current incarnation of this daemon. */
  isCurrentMember(member: Member): boolean {
    return isSameMember(member, this.sessionManager.getMember());
  }

  /**
   * Tells whether the known assignment includes all slices that the backend server on this host should
   * hold. After a restart it does not until the slices of the earlier incarnation have passed to this one.
   */
  mayGrant(
    service: ServiceName,
    getSuccessor: (member: Member) => Member | undefined,
  ): boolean {
    if (this.isClosing || !this.sessionManager.isHeld()) return false;
    const slices = this.services.get(service)?.gate.getAssignment()?.slices;
    const self = this.sessionManager.getMember();
    return (
      slices?.every(({owner}) => {
        const isEarlier =
          owner?.host === self.host && !isSameMember(owner, self);
        return !isEarlier || getSuccessor(owner) === undefined;
      }) === true
    );
  }

  /** Stops admission to slices of an owner; returns those that are idle and may be handed over. */
  releaseSlices(
    service: ServiceName,
    owner: Member,
    refs: readonly SliceRef[],
  ): readonly SliceRef[] {
    if (owner.incarnation !== this.sessionManager.getMember().incarnation)
      return [];
    const {gate} = this.getState(service);
    const slices = gate.getAssignment()?.slices ?? [];
    return gate.releaseSlices(refs).filter(ref => {
      const slice = findSlice(slices, ref.start);
      return slice !== undefined && this.isTakeoverWaitOver(service, slice);
    });
  }

  /** Omits slices that were split or merged by an assignment that this daemon has not received yet. */
  filterUnchanged(
    service: ServiceName,
    refs: readonly SliceRef[],
  ): readonly SliceRef[] {
    return this.getState(service).gate.filterUncut(refs);
  }

  /** Tells whether a server that does not check fencing tokens may already serve a slice that was taken over. */
  private isTakeoverWaitOver(
    service: ServiceName,
    slice: Slice,
    rules = this.registry.getRules(service),
  ): boolean {
    if (rules?.fencing === 'checked') return true;
    const nowMs = this.system.getNow().monotonicMs;
    // Without known rules, the lost owner's server may run its requests for an unlimited time.
    const maxRunMs = rules?.maxRunMs ?? Infinity;
    return this.getState(service).wait.isElapsed(slice, maxRunMs, nowMs);
  }

  /** Returns the idempotency entries of slices that are to be handed over. */
  getIdempotencyEntries(
    service: ServiceName,
    refs: readonly SliceRef[],
  ): readonly WindowEntry[] {
    const {gate, guard} = this.getState(service);
    const slices = gate.getAssignment()?.slices ?? [];
    const starts = new Set(refs.map(ref => ref.start));
    return guard.window.findEntries(position =>
      starts.has(findSlice(slices, position)?.start ?? -1),
    );
  }

  /** Adds idempotency entries that were handed over; returns false when they do not fit. */
  tryAbsorbIdempotencyEntries(
    service: ServiceName,
    entries: readonly WindowEntry[],
  ): boolean {
    return this.getState(service).guard.window.tryMergeEntries(
      entries,
      this.system.getNow().monotonicMs,
    );
  }

  /** Handles a request for which this daemon is the owner according to the entry that sent it. */
  async handle(exchange: Exchange): Promise<AttemptResult> {
    const checked = this.checkAdmission(exchange);
    if ('outcome' in checked) return {kind: 'failed', failure: checked};
    this.running += 1;
    const endRequest = startSliceRequest(checked);
    let busyMs = 0;
    try {
      const result = await this.runOnce(checked);
      if (mayStillRun(exchange, result)) busyMs = exchange.rules.maxRunMs;
      return result;
    } finally {
      if (busyMs === 0) endRequest();
      else this.system.startTimer(busyMs, endRequest);
      this.running -= 1;
    }
  }

  private checkAdmission(exchange: Exchange): AdmittedRequest | AttemptFailure {
    const {service} = exchange.target;
    const rules = this.registry.getRules(service) ?? exchange.rules;
    if (this.isClosing) return createNotRunFailure('DD3021', SHORT_RETRY_MS);
    if (!this.sessionManager.isHeld())
      return createNotRunFailure('DD3016', SHORT_RETRY_MS);
    const server = this.registry.getServer(service);
    if (server === undefined)
      return createNotRunFailure('DD3024', SHORT_RETRY_MS, {service});
    if (!this.registry.isAccepting(service))
      return createNotRunFailure('DD3021', SHORT_RETRY_MS);
    const state = this.getState(service);
    const position = getPosition(exchange);
    if (position === undefined)
      return {exchange, server, slice: undefined, position: 0, state};
    const answer = state.gate.checkPosition(position);
    if (answer.kind === 'not-owned') {
      return {
        ...createNotRunFailure('DD3017', 0),
        ownerGeneration: answer.generation,
      };
    }
    if (
      answer.kind === 'moving' ||
      !this.registry.isGranted(service, answer.slice) ||
      !this.isTakeoverWaitOver(service, answer.slice, rules)
    ) {
      return createNotRunFailure('DD3005', SHORT_RETRY_MS);
    }
    const {offeredRequests = 1} = exchange;
    this.onAdmission(service, answer.slice.start, position, offeredRequests);
    return {exchange, server, slice: answer.slice, position, state};
  }

  private runOnce(admitted: AdmittedRequest): Promise<AttemptResult> {
    const {exchange, state, position, slice} = admitted;
    const {idempotencyKey} = exchange;
    if (idempotencyKey === undefined || exchange.kind.idempotent)
      return this.runWithLink(admitted);
    const answerHeaders = createAnswerHeaders(admitted);
    const request = {exchange, idempotencyKey, position, slice, answerHeaders};
    return state.guard.runOnce(request, () => this.runWithLink(admitted));
  }

  /** Runs a request unless the link of this host cannot send its response in time. */
  private runWithLink(admitted: AdmittedRequest): Promise<AttemptResult> {
    const {egress} = this;
    if (egress === undefined) return this.runInSlot(admitted);
    const {exchange} = admitted;
    const expectedBytes = this.responseSizes.getMeanBytes(exchange.kind.name);
    const neededAtMs = getGoalAtMs(exchange) ?? exchange.deadlineAtMs;
    const leftMs = neededAtMs - this.system.getNow().monotonicMs;
    const endReservation = egress.tryReserve(expectedBytes, leftMs);
    return endReservation === undefined
      ? Promise.resolve(this.refuseForLink(exchange))
      : this.runReserved(admitted, endReservation);
  }

  private async runReserved(
    admitted: AdmittedRequest,
    endReservation: () => void,
  ): Promise<AttemptResult> {
    const {kind, answer} = admitted.exchange;
    try {
      const result = await this.runInSlot(admitted);
      const bytes = answer.getBytes?.();
      if (result.kind === 'answered' && bytes !== undefined)
        this.responseSizes.observe(kind.name, bytes);
      return result;
    } finally {
      endReservation();
    }
  }

  private refuseForLink({target: {service}}: Exchange): AttemptResult {
    const {host} = this.sessionManager.getMember();
    return createFailedResult(
      createNotRunFailure('DD3035', SHORT_RETRY_MS, {service, host}),
    );
  }

  private runInSlot(admitted: AdmittedRequest): Promise<AttemptResult> {
    const {exchange, server} = admitted;
    const isNested = this.isNested(exchange);
    return new Promise(resolve => {
      let withdraw = () => {};
      const onAbandoned = () => {
        removeWaiting();
        withdraw();
        resolve(createFailedResult(createNotRunFailure('DD3022', 0)));
      };
      const removeWaiting = addWaitingRequest(admitted, () => {
        exchange.abandonment.removeListener(onAbandoned);
        withdraw();
        resolve(
          createFailedResult(createNotRunFailure('DD3005', SHORT_RETRY_MS)),
        );
      });
      exchange.abandonment.addListener(onAbandoned);
      withdraw = server.policy.requestSlot({
        kind: exchange.kind.name,
        priority: exchange.kind.priority,
        expectedServiceMs: exchange.kind.expectedServiceMs,
        deadlineAtMs: exchange.deadlineAtMs,
        goalAtMs: getGoalAtMs(exchange),
        caller: exchange.caller,
        isNested,
        bytes:
          exchange.body.kind === 'buffered'
            ? exchange.body.bytes.byteLength
            : 0,
        onRun: finish => {
          removeWaiting();
          exchange.abandonment.removeListener(onAbandoned);
          void this.sendToServer(admitted)
            .catch(createInternalError)
            .then(result => {
              finish(result.kind === 'answered');
              resolve(result);
            });
        },
        onRefuse: refusal => {
          removeWaiting();
          exchange.abandonment.removeListener(onAbandoned);
          this.onRefusal(exchange, refusal);
          resolve(createFailedResult(createRefusal(exchange, refusal)));
        },
      });
    });
  }

  /** Tells whether a request running at another server waits for the response. */
  private isNested({routed, kind}: Exchange): boolean {
    if (routed === undefined) return false;
    return this.nestedKinds.observe(kind.name, routed.origin);
  }

  private async sendToServer(
    admitted: AdmittedRequest,
  ): Promise<AttemptResult> {
    const {exchange, server} = admitted;
    const {service} = exchange.target;
    const refusal = this.findLateRefusal(admitted);
    if (refusal !== undefined) return createFailedResult(refusal);
    const nowMs = this.system.getNow().monotonicMs;
    const remainingMs = exchange.deadlineAtMs - nowMs;
    const {routed} = exchange;
    return sendAttempt(this.system, {
      dispatcher: server.connections.takePool(routed?.requestId ?? ''),
      peerName: `the backend server of ${service}`,
      method: exchange.method,
      path: exchange.target.path,
      body: exchange.body,
      expiresAtMs: exchange.deadlineAtMs,
      deadlineMs: Math.round(
        exchange.deadlineAtMs - exchange.receivedAt.monotonicMs,
      ),
      abandonment: exchange.abandonment,
      answer: exchange.answer,
      findLateRefusal: () => this.findLateRefusal(admitted),
      ...(routed === undefined
        ? this.createNativeOptions(admitted, remainingMs)
        : createRoutedOptions(admitted, routed, remainingMs)),
    });
  }

  /** Returns the parameters of an attempt that uses the native protocol. */
  private createNativeOptions(
    admitted: AdmittedRequest,
    remainingMs: number,
  ): ProtocolOptions {
    const {exchange, slice} = admitted;
    const isKept =
      exchange.idempotencyKey !== undefined && !exchange.kind.idempotent;
    return {
      headers: {
        ...exchange.headers,
        [REMAINING_HEADER]: String(Math.max(0, Math.round(remainingMs))),
        ...this.createFencingHeaders(exchange.target.service, slice),
      },
      readFailure: readServerRefusal,
      answerHeaders: createAnswerHeaders(admitted),
      maxKeptBytes: isKept ? this.limits.keptAnswerBytes : 0,
    };
  }

  /**
   * Repeats the admission checks before the request is sent: while it waited, the lease may have expired,
   * this daemon may have rejoined, and the slice may have moved to another owner.
   */
  private findLateRefusal(
    admitted: AdmittedRequest,
  ): AttemptFailure | undefined {
    const {exchange, slice, state, position} = admitted;
    const {service} = exchange.target;
    const isStateCurrent = this.services.get(service) === state;
    if (!this.sessionManager.isHeld() || !isStateCurrent)
      return createNotRunFailure('DD3016', SHORT_RETRY_MS);
    if (!this.registry.isAccepting(service))
      return createNotRunFailure('DD3021', SHORT_RETRY_MS);
    if (slice === undefined) return undefined;
    const answer = state.gate.checkPosition(position);
    if (answer.kind === 'not-owned' || answer.slice.token !== slice.token)
      return createNotRunFailure('DD3017', 0);
    if (!this.registry.isGranted(service, slice))
      return createNotRunFailure('DD3005', SHORT_RETRY_MS);
    return undefined;
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
      gate: new SliceGate(this.sessionManager.getMember()),
      guard: new IdempotencyGuard(this.system, this.limits),
      wait: new TakeoverWait(),
    };
    this.services.set(service, state);
    return state;
  }
}
