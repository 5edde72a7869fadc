/**
 * The entry stage of a request: finds the daemon that owns it, sends it there, retries where that is
 * allowed, and reports the outcome to the caller.
 */
import {formatMessage, type MessageCode} from '@dottereldrift/core/messages.js';
import {type System, waitFor} from '@dottereldrift/core/system.js';
import type {HostName, Member, ServiceName} from '@dottereldrift/core/types.js';
import {findSlice} from '@dottereldrift/ownership/slices.js';
import {AnswerSizes} from '@dottereldrift/routing/answer_sizes.js';
import {
  classifyAnswer,
  classifyFailure,
  isLoadCode,
  isRefusedForLoad,
} from '@dottereldrift/routing/attempt_end.js';
import {
  type AttemptEnd,
  HostSelector,
  type ServingHost,
} from '@dottereldrift/routing/host_selector.js';
import {
  getResendCost,
  getRetryDelayMs,
  isRetryAllowed,
  isRetryableElsewhere,
  mergeFailure,
  type RefusedAttempt,
} from '@dottereldrift/routing/retry.js';
import {
  FAILURE_BUDGET,
  REFUSAL_BUDGET,
  RetryBudget,
  type RetryBudgetLimits,
} from '@dottereldrift/routing/retry_budget.js';
import {
  type Offer,
  OfferThrottle,
} from '@dottereldrift/routing/offer_throttle.js';
import type {
  AttemptFailure,
  Candidate,
  RouteDecision,
} from '@dottereldrift/routing/types.js';

import type {AttemptResult, Exchange} from './exchange.js';
import {createFailedResult, createNotRunFailure} from './failures.js';
import type {Forwarder} from './forwarder.js';
import type {Owner} from './owner.js';
import type {OfferCounts} from './request_tally.js';
import {getPosition} from './request_position.js';
import {ServingHosts} from './serving_hosts.js';
import {StoppingMembers} from './stopping_members.js';
import type {StoreView} from './store_view.js';

/** Delay before the entry looks again for a route that is missing. */
const ROUTE_RETRY_DELAY_MS = 10;
/** Fraction of the fleet's retry budget that is used; the rest is headroom for daemons that restart. */
const FLEET_BUDGET_SHARE = 0.5;
/** Fraction of its latency goal for which a routed request waits for a route before it is refused. */
const ROUTE_WAIT_SHARE = 0.5;
/**
 * Fraction of its latency goal for which a routed request waits while its key moves to the next owner. A
 * move takes less time than that; if it takes longer, the caller should retry instead.
 */
const MOVE_WAIT_SHARE = 1;
/**
 * Maximum number of hosts without capacity that are offered a request that any host may run. While most hosts are
 * full, every further offer takes processor time from the requests that they run.
 */
const MAX_LOAD_REFUSALS = 4;
/**
 * Fraction of the latency goal after which a caller that found all slots taken should retry. Goals are two
 * to four times the usual service time, which leaves enough time to run the request.
 */
const LOAD_RETRY_AFTER_SHARE = 0.25;
/** Retry delay advised to a caller whose request found no route. */
const NO_ROUTE_RETRY_AFTER_MS = 250;

/** An offer whose result has no effect on later ones. */
const UNTHROTTLED_OFFER: Offer = {requests: 1, end: () => {}};

/** Fleet state that an entry reads. */
export type RouteView = Pick<
  StoreView,
  | 'getAssignment'
  | 'getSession'
  | 'getLiveSessions'
  | 'isDraining'
  | 'refreshAssignment'
>;

/** Called with the result of each finished request and the number of offers made for it. */
export type EndListener = (
  exchange: Exchange,
  result: AttemptResult,
  counts: OfferCounts,
) => void;

interface Budgets {
  readonly failures: RetryBudget;
  readonly refusals: RetryBudget;
}

/** Routes requests to their owners and retries them. */
export class Entry {
  private readonly budgets = new Map<ServiceName, Budgets>();
  /** Load balancers of the services that are not divided by key. */
  private readonly hostChoices = new Map<ServiceName, HostSelector>();
  private readonly responseSizes = new AnswerSizes();
  private readonly offerThrottle: OfferThrottle;
  private readonly servingHosts: ServingHosts;
  private readonly stoppingMembers: StoppingMembers;
  private onEnd: EndListener = () => {};

  constructor(
    private readonly system: System,
    private readonly view: RouteView,
    private readonly owner: Pick<Owner, 'handle'>,
    private readonly forwarder: Pick<Forwarder, 'forward'>,
    private readonly selfHost: string,
    /** Retry budget that the whole fleet shares; undefined for the default budgets of one daemon. */
    private readonly fleetBudget?: RetryBudgetLimits,
  ) {
    this.servingHosts = new ServingHosts(view, selfHost);
    this.offerThrottle = new OfferThrottle(system);
    this.stoppingMembers = new StoppingMembers(system);
  }

  /** Sends no more requests to a daemon that has announced its stop. */
  receiveStopNotice(member: Member): void {
    this.stoppingMembers.addNotice(member);
  }

  /** Sets the listener that is called for each finished request. */
  setEndListener(listener: EndListener): void {
    this.onEnd = listener;
  }

  /** Handles a request until it is answered or has finally failed. */
  async handle(exchange: Exchange): Promise<AttemptResult> {
    const counts: OfferCounts = {offers: 0, hops: 0};
    const result = await this.run(exchange, counts);
    this.onEnd(exchange, result, counts);
    return result;
  }

  private async run(
    exchange: Exchange,
    counts: OfferCounts,
  ): Promise<AttemptResult> {
    const budgets = this.getBudgets(exchange.target.service);
    budgets.failures.addRequest();
    budgets.refusals.addRequest();
    let attemptsMade = 0;
    let refused: RefusedAttempt | undefined;
    let failure: AttemptFailure | undefined;
    const tried = new Set<HostName>();
    let loadRefusals = 0;
    for (let retries = 0; ; retries++) {
      const route = this.chooseRoute(exchange, tried);
      if (
        failure === undefined ||
        refused === undefined ||
        mayResend(refused, route, budgets.refusals)
      ) {
        const result = await this.tryRoute(route, exchange, counts);
        if (result.kind === 'answered') {
          this.observeAnswer(exchange);
          return result;
        }
        failure = addFailureHost(route, result.failure, failure);
        if (isRefusedForLoad(result.failure)) loadRefusals += 1;
        const isNew = addTriedHost(route, tried);
        const mayOffer = isNew && loadRefusals < MAX_LOAD_REFUSALS;
        if (mayOffer && this.mayOfferElsewhere(exchange, failure, tried))
          continue;
        this.refreshRoute(exchange, failure);
        refused = createRefusedAttempt(route, failure) ?? refused;
        if (failure.outcome === 'unknown') attemptsMade += 1;
      }
      const delayMs = this.drawDelayMs(retries, failure);
      const mayRetry =
        this.mayKeepWaiting(exchange, failure) &&
        this.isRetryWorthwhile(exchange, failure, attemptsMade, delayMs) &&
        (failure.outcome === 'not-run' || budgets.failures.trySpendRetry());
      if (mayRetry) await waitFor(this.system, delayMs);
      if (!mayRetry || exchange.abandonment.isAbandoned()) {
        const merged = mergeFailure(attemptsMade > 0, failure);
        return {kind: 'failed', failure: adviseRetryAfter(exchange, merged)};
      }
    }
  }

  /** Tells whether a request that any host may run can be offered to a host that has not been tried. */
  private mayOfferElsewhere(
    exchange: Exchange,
    failure: AttemptFailure,
    tried: ReadonlySet<HostName>,
  ): boolean {
    const isAnyHost =
      exchange.routed !== undefined && getPosition(exchange) === undefined;
    if (!isAnyHost || !isRetryableElsewhere(failure)) return false;
    if (exchange.body.kind === 'stream' && !exchange.body.upload.isUnread())
      return false;
    if (exchange.abandonment.isAbandoned()) return false;
    return this.listHosts(exchange).some(({host}) => !tried.has(host));
  }

  /** Bounds the wait for a route, so that the caller can use the time that is left. */
  private mayKeepWaiting(
    {routed, receivedAt}: Exchange,
    failure: AttemptFailure,
  ): boolean {
    if (routed === undefined || failure.outcome !== 'not-run') return true;
    const waitedMs = this.system.getNow().monotonicMs - receivedAt.monotonicMs;
    // A move ends soon; a caller that is refused now might retry before it ends.
    const share =
      failure.code === 'DD3005' ? MOVE_WAIT_SHARE : ROUTE_WAIT_SHARE;
    return waitedMs < routed.goalMs * share;
  }

  /** Fetches the assignment by which the owner refused, for this request's retry and for other requests. */
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
      isBodyKept: body.kind !== 'stream' || body.upload.isUnread(),
      remainingMs: exchange.deadlineAtMs - this.system.getNow().monotonicMs,
      delayMs,
    });
  }

  private async tryRoute(
    route: RouteDecision,
    exchange: Exchange,
    counts: OfferCounts,
  ): Promise<AttemptResult> {
    if (route.kind !== 'send') return failRoute(route.code, exchange);
    const {candidate, generation} = route;
    const {service} = exchange.target;
    const {host} = candidate.member;
    const offer = this.startOffer(candidate, exchange);
    if (offer === undefined) return failThrottled(exchange, host);
    countOffer(candidate, counts);
    const endAttempt = this.getChoice(service).startAttempt(host);
    let result: AttemptResult | undefined;
    try {
      result = candidate.isLocal
        ? await this.owner.handle(exchange)
        : await this.forwarder.forward(
            candidate,
            exchange,
            generation,
            offer.requests,
          );
      return result;
    } finally {
      endAttempt(result === undefined ? 'neutral' : classifyResult(result));
      endOffer(offer, result);
    }
  }

  /** Starts an offer; undefined when it is throttled because its host refuses most requests of this kind. */
  private startOffer(
    {isLocal, member}: Candidate,
    {routed, kind}: Exchange,
  ): Offer | undefined {
    // An offer to this host itself costs no hop between daemons.
    if (routed === undefined || isLocal) return UNTHROTTLED_OFFER;
    return this.offerThrottle.startOffer(member.host, kind.name);
  }

  private observeAnswer({kind, answer}: Exchange): void {
    const bytes = answer.getBytes?.();
    if (bytes !== undefined) this.responseSizes.observe(kind.name, bytes);
  }

  private chooseRoute(
    exchange: Exchange,
    tried: ReadonlySet<HostName>,
  ): RouteDecision {
    const {service} = exchange.target;
    const position = getPosition(exchange);
    if (position === undefined) return this.chooseAnyHost(exchange, tried);
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

  /** Chooses any host that serves the service, preferring hosts that have not been tried. */
  private chooseAnyHost(
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
      routed === undefined
        ? 1
        : this.responseSizes.getRemoteCostFactor(kind.name);
    const hosts = this.servingHosts.listHosts(service, distance);
    if (this.stoppingMembers.isEmpty()) return hosts;
    return hosts.filter(({host}) => this.createCandidate(host) !== undefined);
  }

  private createCandidate(host: string): Candidate | undefined {
    const session = this.view.getSession(host)?.session;
    if (session === undefined || session.isEnded) return undefined;
    const {member, peerAddress} = session;
    if (this.stoppingMembers.isStopping(member)) return undefined;
    return {member, peerAddress, isLocal: host === this.selfHost};
  }

  private getBudgets(service: ServiceName): Budgets {
    const present = this.budgets.get(service);
    if (present !== undefined) return present;
    const budgets = this.createBudgets();
    this.budgets.set(service, budgets);
    return budgets;
  }

  /** Creates the retry budgets of a service; a fleet budget covers failures and refusals together. */
  private createBudgets(): Budgets {
    if (this.fleetBudget === undefined) {
      return {
        failures: new RetryBudget(FAILURE_BUDGET),
        refusals: new RetryBudget(REFUSAL_BUDGET),
      };
    }
    const daemons = Math.max(1, this.view.getLiveSessions().length);
    const shared = new RetryBudget({
      retriesPerRequest:
        this.fleetBudget.retriesPerRequest * FLEET_BUDGET_SHARE,
      maxSaved: (this.fleetBudget.maxSaved * FLEET_BUDGET_SHARE) / daemons,
    });
    return {failures: shared, refusals: shared};
  }

  private getChoice(service: ServiceName): HostSelector {
    const present = this.hostChoices.get(service);
    if (present !== undefined) return present;
    const choice = new HostSelector(this.system);
    this.hostChoices.set(service, choice);
    return choice;
  }
}

/**
 * Raises the retry delay of a refusal to one after which a retry is worthwhile. Slots become free soon, so
 * a caller refused for load can retry early enough to be answered within its latency goal.
 */
function adviseRetryAfter(
  {routed}: Exchange,
  failure: AttemptFailure,
): AttemptFailure {
  if (routed === undefined || failure.outcome !== 'not-run') return failure;
  const leastMs = isLoadCode(failure.code)
    ? routed.goalMs * LOAD_RETRY_AFTER_SHARE
    : NO_ROUTE_RETRY_AFTER_MS;
  return {...failure, retryAfterMs: Math.max(failure.retryAfterMs, leastMs)};
}

/** Records the host that was tried; returns false when there was none or it had been tried before. */
function addTriedHost(route: RouteDecision, tried: Set<HostName>): boolean {
  if (route.kind !== 'send') return false;
  const {size} = tried;
  tried.add(route.candidate.member.host);
  return tried.size > size;
}

function endOffer(offer: Offer, result: AttemptResult | undefined): void {
  if (result === undefined) offer.end(false, undefined);
  else if (result.kind === 'answered') offer.end(false, result.offerShare);
  else offer.end(isRefusedForLoad(result.failure), result.failure.offerShare);
}

function countOffer({isLocal}: Candidate, counts: OfferCounts): void {
  counts.offers += 1;
  if (!isLocal) counts.hops += 1;
}

/** Adds the host that was tried to a failure; without one, the host of the previous failure. */
function addFailureHost(
  route: RouteDecision,
  failure: AttemptFailure,
  previous: AttemptFailure | undefined,
): AttemptFailure {
  const host =
    route.kind === 'send' ? route.candidate.member.host : previous?.host;
  return host === undefined ? failure : {...failure, host};
}

function classifyResult(result: AttemptResult): AttemptEnd {
  return result.kind === 'answered'
    ? classifyAnswer(result.status, result.isTruncated)
    : classifyFailure(result.failure.code);
}

/** Describes a refused attempt; undefined when no host was tried. */
function createRefusedAttempt(
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
  return cost === 'free' || (cost === 'budget' && budget.trySpendRetry());
}

/** Fails a throttled request with the refusal that its host would have given. */
function failThrottled(
  {target: {service}}: Exchange,
  host: HostName,
): AttemptResult {
  return createFailedResult(createNotRunFailure('DD3011', 0, {service, host}));
}

function failRoute(code: MessageCode, exchange: Exchange): AttemptResult {
  const text = formatMessage(code, {service: exchange.target.service});
  return {
    kind: 'failed',
    failure: {
      outcome: 'not-run',
      code,
      text,
      retryAfterMs: ROUTE_RETRY_DELAY_MS,
    },
  };
}
