/**
 * The entry's stage of a request: finds the daemon that owns it, sends it there, tries again where
 * that is allowed, and tells the caller the outcome.
 */
import {formatMessage, type MessageCode} from '@dottereldrift/core/messages.js';
import {type System, waitFor} from '@dottereldrift/core/system.js';
import type {HostName, ServiceName} from '@dottereldrift/core/types.js';
import {findSlice} from '@dottereldrift/ownership/slices.js';
import {AnswerSizes} from '@dottereldrift/routing/answer_sizes.js';
import {judgeAnswer, judgeFailure} from '@dottereldrift/routing/attempt_end.js';
import {
  type AttemptEnd,
  HostChoice,
  type ServingHost,
} from '@dottereldrift/routing/host_choice.js';
import {
  getResendCost,
  getRetryDelayMs,
  isRetryAllowed,
  isWorthElsewhere,
  mergeFailure,
  type RefusedAttempt,
} from '@dottereldrift/routing/retry.js';
import {
  FAILURE_BUDGET,
  REFUSAL_BUDGET,
  RetryBudget,
  type RetryBudgetLimits,
} from '@dottereldrift/routing/retry_budget.js';
import {OfferThrottle} from '@dottereldrift/routing/offer_throttle.js';
import type {
  AttemptFailure,
  Candidate,
  RouteDecision,
} from '@dottereldrift/routing/types.js';

import type {AttemptResult, Exchange} from './exchange.js';
import {fail, refuse} from './failures.js';
import type {Forwarder} from './forwarder.js';
import type {Owner} from './owner.js';
import type {RequestTrail} from './request_tally.js';
import {getPosition} from './request_position.js';
import {ServingHosts} from './serving_hosts.js';
import type {StoreView} from './store_view.js';

const ROUTE_WAIT_MS = 10;
/** Part of the fleet's retry budget that is used; the rest allows for daemons that restart. */
const SHARE_MARGIN = 0.5;
/** Part of the goal of a routed request for which it waits for a route before it is refused. */
const ROUTE_WAIT_SHARE = 0.5;
/**
 * Part of its goal for which a routed request waits for its key to arrive at the next owner. A move takes
 * less; after a longer time the caller does better to come back.
 */
const MOVE_WAIT_SHARE = 1;
/** Refusals because all slots of a server are taken. */
const LOAD_CODES: ReadonlySet<MessageCode> = new Set([
  'DD3011',
  'DD3012',
  'DD3025',
]);
/**
 * Part of its goal after which a caller that found all slots taken comes back. Goals are two to four usual service
 * times, so time for a run is left.
 */
const RETURN_SHARE = 0.25;
/** Time after which a caller whose request found no route may find one, in milliseconds. */
const ROUTE_RETRY_AFTER_MS = 250;

/** What an entry needs to know of the fleet. */
export type RouteView = Pick<
  StoreView,
  | 'getAssignment'
  | 'getSession'
  | 'getLiveSessions'
  | 'isDraining'
  | 'refreshAssignment'
>;

/** Is told how a request ended and what was done for it. */
export type EndListener = (
  exchange: Exchange,
  result: AttemptResult,
  trail: RequestTrail,
) => void;

interface Budgets {
  readonly failures: RetryBudget;
  readonly refusals: RetryBudget;
}

/** Routes requests. */
export class Entry {
  private readonly budgets = new Map<ServiceName, Budgets>();
  /** Choice of hosts of the services that are not divided by key. */
  private readonly choices = new Map<ServiceName, HostChoice>();
  private readonly sizes = new AnswerSizes();
  private readonly throttle: OfferThrottle;
  private readonly hosts: ServingHosts;
  private onEnd: EndListener = () => {};

  constructor(
    private readonly system: System,
    private readonly view: RouteView,
    private readonly owner: Pick<Owner, 'handle'>,
    private readonly forwarder: Pick<Forwarder, 'forward'>,
    private readonly selfHost: string,
    /** Second sends of the whole fleet; undefined for the bounds of one daemon. */
    private readonly fleetBudget?: RetryBudgetLimits,
  ) {
    this.hosts = new ServingHosts(view, selfHost);
    this.throttle = new OfferThrottle(system);
  }

  /** Calls back for each request that has ended. */
  addEndListener(listener: EndListener): void {
    this.onEnd = listener;
  }

  /** Handles a request until it is answered or has failed for good. */
  async handle(exchange: Exchange): Promise<AttemptResult> {
    const trail: RequestTrail = {offers: 0, hops: 0};
    const result = await this.run(exchange, trail);
    this.onEnd(exchange, result, trail);
    return result;
  }

  private async run(
    exchange: Exchange,
    trail: RequestTrail,
  ): Promise<AttemptResult> {
    const budgets = this.getBudgets(exchange.target.service);
    budgets.failures.addRequest();
    budgets.refusals.addRequest();
    let attemptsMade = 0;
    let refused: RefusedAttempt | undefined;
    let failure: AttemptFailure | undefined;
    const tried = new Set<HostName>();
    for (let retries = 0; ; retries++) {
      const route = this.chooseRoute(exchange, tried);
      if (
        failure === undefined ||
        refused === undefined ||
        mayResend(refused, route, budgets.refusals)
      ) {
        const result = await this.tryRoute(route, exchange, trail);
        if (result.kind === 'answered') {
          this.observeAnswer(exchange);
          return result;
        }
        failure = addHost(route, result.failure, failure);
        const isNew = addTried(route, tried);
        if (isNew && this.mayOfferElsewhere(exchange, failure, tried)) continue;
        this.refreshRoute(exchange, failure);
        refused = createRefused(route, failure) ?? refused;
        if (failure.outcome === 'unknown') attemptsMade += 1;
      }
      const delayMs = this.drawDelayMs(retries, failure);
      const mayRetry =
        this.mayWaitOn(exchange, failure) &&
        this.isRetryWorthwhile(exchange, failure, attemptsMade, delayMs) &&
        (failure.outcome === 'not-run' || budgets.failures.tryRetry());
      if (mayRetry) await waitFor(this.system, delayMs);
      if (!mayRetry || exchange.abandonment.hasHappened()) {
        const merged = mergeFailure(attemptsMade > 0, failure);
        return {kind: 'failed', failure: adviseReturn(exchange, merged)};
      }
    }
  }

  /** Offers a request that any host may run to one host after the other, until one has room. */
  private mayOfferElsewhere(
    exchange: Exchange,
    failure: AttemptFailure,
    tried: ReadonlySet<HostName>,
  ): boolean {
    const isAnyHost =
      exchange.routed !== undefined && getPosition(exchange) === undefined;
    if (!isAnyHost || !isWorthElsewhere(failure)) return false;
    if (exchange.body.kind === 'stream' && !exchange.body.upload.isUntouched())
      return false;
    if (exchange.abandonment.hasHappened()) return false;
    return this.listHosts(exchange).some(({host}) => !tried.has(host));
  }

  /** What has no route for long is refused, so that its caller may use the time that is left. */
  private mayWaitOn(
    {routed, receivedAt}: Exchange,
    failure: AttemptFailure,
  ): boolean {
    if (routed === undefined || failure.outcome !== 'not-run') return true;
    const waitedMs = this.system.getNow().monotonicMs - receivedAt.monotonicMs;
    // A move ends soon, and a caller that is sent away may come back before it does.
    const share =
      failure.code === 'DD3005' ? MOVE_WAIT_SHARE : ROUTE_WAIT_SHARE;
    return waitedMs < routed.goalMs * share;
  }

  /** Learns the assignment that made the owner refuse, for the next try and for others. */
  private refreshRoute(exchange: Exchange, failure: AttemptFailure): void {
    const {ownerGeneration} = failure;
    if (ownerGeneration === undefined) return;
    const {service} = exchange.target;
    void this.view.refreshAssignment(service, ownerGeneration);
  }

  private drawDelayMs(retries: number, failure: AttemptFailure): number {
    const random = this.system.getRandom();
    return getRetryDelayMs(retries, failure.retryAfterMs, random);
  }

  private isRetryWorthwhile(
    exchange: Exchange,
    failure: AttemptFailure,
    attemptsMade: number,
    delayMs: number,
  ): boolean {
    const {body} = exchange;
    return isRetryAllowed({
      failure,
      isIdempotent: exchange.kind.idempotent,
      attemptsMade,
      maxAttempts: exchange.kind.maxAttempts,
      isBodyKept: body.kind !== 'stream' || body.upload.isUntouched(),
      remainingMs: exchange.deadlineAtMs - this.system.getNow().monotonicMs,
      delayMs,
    });
  }

  private async tryRoute(
    route: RouteDecision,
    exchange: Exchange,
    trail: RequestTrail,
  ): Promise<AttemptResult> {
    if (route.kind !== 'send') return failRoute(route.code, exchange);
    const {candidate, generation} = route;
    const {service} = exchange.target;
    const {host} = candidate.member;
    const endOffer = this.startOffer(candidate, exchange);
    if (endOffer === undefined) return failOffer(exchange, host);
    countOffer(candidate, trail);
    const endAttempt = this.getChoice(service).startAttempt(host);
    let result: AttemptResult | undefined;
    try {
      result = candidate.isLocal
        ? await this.owner.handle(exchange)
        : await this.forwarder.forward(candidate, exchange, generation);
      return result;
    } finally {
      endAttempt(result === undefined ? 'neutral' : judgeResult(result));
      endOffer(result !== undefined && isRefusedForLoad(result));
    }
  }

  /** Returns what ends an offer; undefined when its host refuses nearly all of its kind. */
  private startOffer(
    {isLocal, member}: Candidate,
    {routed, kind}: Exchange,
  ): ((isRefused: boolean) => void) | undefined {
    // An offer on this host costs no hop.
    if (routed === undefined || isLocal) return () => {};
    return this.throttle.startOffer(member.host, kind.name);
  }

  private observeAnswer({kind, answer}: Exchange): void {
    const bytes = answer.getBytes?.();
    if (bytes !== undefined) this.sizes.observe(kind.name, bytes);
  }

  private chooseRoute(
    exchange: Exchange,
    tried: ReadonlySet<HostName>,
  ): RouteDecision {
    const {service} = exchange.target;
    const position = getPosition(exchange);
    if (position === undefined) return this.chooseAny(exchange, tried);
    const assignment = this.view.getAssignment(service)?.assignment;
    const owner = findSlice(assignment?.slices ?? [], position)?.owner;
    if (assignment === undefined || owner === undefined)
      return {kind: 'wait', code: 'DD3004'};
    const candidate = this.createCandidate(owner.host);
    if (
      candidate === undefined ||
      candidate.member.incarnation !== owner.incarnation
    ) {
      return {kind: 'wait', code: 'DD3004'};
    }
    return {kind: 'send', candidate, generation: assignment.generation};
  }

  /** Chooses any host that serves the service, a retry another than before. */
  private chooseAny(
    exchange: Exchange,
    tried: ReadonlySet<HostName>,
  ): RouteDecision {
    const {service} = exchange.target;
    const hosts = this.listHosts(exchange);
    const host = this.getChoice(service).choose(hosts, tried);
    const candidate =
      host === undefined ? undefined : this.createCandidate(host);
    if (candidate === undefined) return {kind: 'wait', code: 'DD3024'};
    return {kind: 'send', candidate, generation: 0};
  }

  private listHosts({
    target: {service},
    kind,
    routed,
  }: Exchange): readonly ServingHost[] {
    const distance =
      routed === undefined ? 1 : this.sizes.getDistance(kind.name);
    return this.hosts.listHosts(service, distance);
  }

  private createCandidate(host: string): Candidate | undefined {
    const session = this.view.getSession(host)?.session;
    if (session === undefined || session.isEnded) return undefined;
    const {member, peerAddress} = session;
    return {member, peerAddress, isLocal: host === this.selfHost};
  }

  private getBudgets(service: ServiceName): Budgets {
    const present = this.budgets.get(service);
    if (present !== undefined) return present;
    const budgets = this.createBudgets();
    this.budgets.set(service, budgets);
    return budgets;
  }

  /** One budget serves both kinds of second sends where the fleet shares it. */
  private createBudgets(): Budgets {
    if (this.fleetBudget === undefined) {
      return {
        failures: new RetryBudget(FAILURE_BUDGET),
        refusals: new RetryBudget(REFUSAL_BUDGET),
      };
    }
    const daemons = Math.max(1, this.view.getLiveSessions().length);
    const shared = new RetryBudget({
      retriesPerRequest: this.fleetBudget.retriesPerRequest * SHARE_MARGIN,
      maxSaved: (this.fleetBudget.maxSaved * SHARE_MARGIN) / daemons,
    });
    return {failures: shared, refusals: shared};
  }

  private getChoice(service: ServiceName): HostChoice {
    const present = this.choices.get(service);
    if (present !== undefined) return present;
    const choice = new HostChoice(this.system);
    this.choices.set(service, choice);
    return choice;
  }
}

/**
 * Names a time to come back that is worth while, where the refusal itself only spoke of a moment. A slot is
 * free again soon, and a caller that comes back before its goal may yet be answered by it.
 */
function adviseReturn(
  {routed}: Exchange,
  failure: AttemptFailure,
): AttemptFailure {
  if (routed === undefined || failure.outcome !== 'not-run') return failure;
  const leastMs = LOAD_CODES.has(failure.code)
    ? routed.goalMs * RETURN_SHARE
    : ROUTE_RETRY_AFTER_MS;
  return {...failure, retryAfterMs: Math.max(failure.retryAfterMs, leastMs)};
}

/** Notes the host that was asked; false when there was none, or it was asked before. */
function addTried(route: RouteDecision, tried: Set<HostName>): boolean {
  if (route.kind !== 'send') return false;
  const {size} = tried;
  tried.add(route.candidate.member.host);
  return tried.size > size;
}

function countOffer({isLocal}: Candidate, trail: RequestTrail): void {
  trail.offers += 1;
  if (!isLocal) trail.hops += 1;
}

/** Tells whether the host had no room, so that others of the kind will find none either. */
function isRefusedForLoad(result: AttemptResult): boolean {
  if (result.kind === 'answered') return false;
  const {outcome, code} = result.failure;
  return outcome === 'not-run' && (LOAD_CODES.has(code) || code === 'DD3034');
}

/** Names the host that was asked; where none was, the one that was asked before. */
function addHost(
  route: RouteDecision,
  failure: AttemptFailure,
  before: AttemptFailure | undefined,
): AttemptFailure {
  const host =
    route.kind === 'send' ? route.candidate.member.host : before?.host;
  return host === undefined ? failure : {...failure, host};
}

function judgeResult(result: AttemptResult): AttemptEnd {
  return result.kind === 'answered'
    ? judgeAnswer(result.status, result.isCut)
    : judgeFailure(result.failure.code);
}

/** Returns who refused; undefined when no host was asked. */
function createRefused(
  route: RouteDecision,
  failure: AttemptFailure,
): RefusedAttempt | undefined {
  if (route.kind !== 'send') return undefined;
  const {member, isLocal} = route.candidate;
  return {failure, host: member.host, isLocal};
}

function mayResend(
  last: RefusedAttempt,
  route: RouteDecision,
  budget: RetryBudget,
): boolean {
  if (last.failure.outcome === 'unknown' || route.kind !== 'send') return true;
  const {candidate, generation} = route;
  const cost = getResendCost(last, {host: candidate.member.host, generation});
  return cost === 'free' || (cost === 'budget' && budget.tryRetry());
}

/** Refuses a request as its host, which has refused nearly all of late, would. */
function failOffer(
  {target: {service}}: Exchange,
  host: HostName,
): AttemptResult {
  return fail(refuse('DD3011', 0, {service, host}));
}

function failRoute(code: MessageCode, exchange: Exchange): AttemptResult {
  const text = formatMessage(code, {service: exchange.target.service});
  return {
    kind: 'failed',
    failure: {outcome: 'not-run', code, text, retryAfterMs: ROUTE_WAIT_MS},
  };
}
