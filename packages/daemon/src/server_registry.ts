/**
 * The backend servers on this host: what they announced, whether they answer, and the grants that
 * they hold.
 */
import {type Dispatcher, Pool} from 'undici';

import type {Log} from '@dottereldrift/core/log.js';
import {formatUrl} from '@dottereldrift/core/member.js';
import {type System, waitFor} from '@dottereldrift/core/system.js';
import type {Instant, ServiceName} from '@dottereldrift/core/types.js';
import type {SlotPolicy} from '@dottereldrift/limits/types.js';
import type {ServerInfo} from '@dottereldrift/membership/types.js';
import type {Assignment, Slice} from '@dottereldrift/ownership/types.js';
import type {ServiceRules} from '@dottereldrift/manifest/types.js';

import {GrantSender, type GrantSource} from './grant_sender.js';
import type {SessionKeeper} from './session_keeper.js';

/** Silence after which a server that announced itself is taken for lost. */
export const SERVER_SILENCE_MS = 3_000;
/** Silence after which it is taken for lost if it leaves grants unanswered as well. */
const SHORT_SILENCE_MS = 1_500;
const UNANSWERED_LIMIT_MS = 1_000;
/** Time after which what leaves gets no new work, even if its slices could not be moved. */
export const LEAVING_ADMISSION_MS = 2_500;

const CHECK_INTERVAL_MS = 100;
const CONNECT_TIMEOUT_MS = 500;

/** A server on this host. */
export interface LocalServer {
  readonly info: ServerInfo;
  readonly pool: Dispatcher;
  readonly policy: SlotPolicy;
}

interface Entry extends LocalServer {
  readonly lastSeenMs: number;
  /** When the server first said that it leaves; undefined while it stays. */
  readonly leavingSinceMs: number | undefined;
}

/** What the registry asks of the assignments in force here. */
export interface OwnedSlices {
  getAssignment(service: ServiceName): Assignment | undefined;
  /** Returns the slices that this daemon owns and has not released. */
  getHeldSlices(service: ServiceName): readonly Slice[];
}

/** Creates the policy that gives the slots of a server. */
export type PolicyFactory = (service: ServiceName, slots: number) => SlotPolicy;

/** Opens the connections to a server. */
export type ServerPoolFactory = (info: ServerInfo) => Dispatcher;

/** Keeps the servers of this host. */
export class ServerRegistry {
  private readonly entries = new Map<ServiceName, Entry>();
  private readonly senders = new Map<ServiceName, GrantSender>();
  /** Services whose lost server may still hold a grant, so that another gets none yet. */
  private readonly heldBack = new Set<ServiceName>();
  private drainingSinceMs: number | undefined;
  private isRevoking = false;
  private isStopped = false;

  constructor(
    private readonly system: System,
    private readonly keeper: Pick<SessionKeeper, 'getEnd' | 'setServers'>,
    private readonly createPolicy: PolicyFactory,
    private readonly owned: OwnedSlices,
    /** Returns the rules of a service; undefined when none are in force. */
    readonly getRules: (service: ServiceName) => ServiceRules | undefined,
    private readonly log: Log,
    private readonly createPool: ServerPoolFactory = createServerPool,
  ) {}

  /** Takes an announcement: a new server, or a sign of life of a known one. */
  receiveAnnouncement(info: ServerInfo): void {
    const present = this.entries.get(info.service);
    const lastSeenMs = this.system.getNow().monotonicMs;
    if (present !== undefined && isSameAddress(present.info, info)) {
      const leavingSinceMs = info.isLeaving
        ? (present.leavingSinceMs ?? lastSeenMs)
        : undefined;
      this.entries.set(info.service, {
        ...present,
        info,
        lastSeenMs,
        leavingSinceMs,
      });
      present.policy.setSlots(info.slots);
      if (!isSameInfo(present.info, info)) this.publishServers();
      return;
    }
    if (present !== undefined)
      this.endLostServer(info.service, 'another one took its place');
    this.entries.set(info.service, {
      info,
      lastSeenMs,
      leavingSinceMs: info.isLeaving ? lastSeenMs : undefined,
      pool: this.createPool(info),
      policy: this.createPolicy(info.service, info.slots),
    });
    this.log.writeInfo('A backend server announced itself.', {
      service: info.service,
    });
    this.publishServers();
    this.sendGrants();
  }

  /** Takes note that a server takes no new work. */
  startLeaving(service: ServiceName): boolean {
    const present = this.entries.get(service);
    if (present === undefined) return false;
    this.entries.set(service, {
      ...present,
      info: {...present.info, isLeaving: true},
      leavingSinceMs:
        present.leavingSinceMs ?? this.system.getNow().monotonicMs,
    });
    this.publishServers();
    return true;
  }

  /** Takes note that a server is gone, by its own word: it runs nothing any more. */
  removeServer(service: ServiceName): void {
    this.removeEntry(service, 'it left');
    this.publishServers();
  }

  /** Takes note of whether operators drain this host. */
  setDraining(isDraining: boolean): void {
    this.drainingSinceMs = isDraining
      ? (this.drainingSinceMs ?? this.system.getNow().monotonicMs)
      : undefined;
  }

  /** Tells whether a server may still be given work: it stays, or began to leave a moment ago. */
  isAccepting(service: ServiceName): boolean {
    const nowMs = this.system.getNow().monotonicMs;
    const sinceMs = Math.min(
      this.entries.get(service)?.leavingSinceMs ?? Infinity,
      this.drainingSinceMs ?? Infinity,
    );
    return nowMs - sinceMs < LEAVING_ADMISSION_MS;
  }

  getServer(service: ServiceName): LocalServer | undefined {
    return this.entries.get(service);
  }

  getServers(): readonly LocalServer[] {
    return [...this.entries.values()];
  }

  /** Tells whether a slice may be served: its server has acknowledged the grant. */
  isGranted(service: ServiceName, slice: Slice): boolean {
    if (!this.isChecking(service)) return true;
    return this.getSender(service).isGranted(slice);
  }

  /** Returns until when a server may start a request that it is sent now. */
  getGrantEnd(service: ServiceName, slice: Slice | undefined): Instant {
    return slice !== undefined && this.isChecking(service)
      ? this.getSender(service).getAcknowledgedEnd()
      : this.keeper.getEnd();
  }

  /**
   * Makes sure that no server of this host can start a request of a slice that was released: the
   * server has acknowledged a grant without it, or every grant has lapsed.
   */
  async tryRevoke(service: ServiceName): Promise<boolean> {
    if (!this.isChecking(service)) return true;
    const sender = this.getSender(service);
    if (sender.hasLapsed()) return true;
    const entry = this.entries.get(service);
    if (entry === undefined) return !this.heldBack.has(service);
    if (this.isHeldBack(service)) return false;
    return sender.tryConfirm(entry.pool);
  }

  /** Waits until no server of this host can start a request by a grant that it was sent. */
  async endGrants(): Promise<void> {
    this.isRevoking = true;
    for (const [service, sender] of this.senders) {
      if (await this.tryRevoke(service)) continue;
      while (!sender.hasLapsed()) await waitFor(this.system, CHECK_INTERVAL_MS);
    }
  }

  /** Sends every server its slices and the end of the lease. */
  sendGrants(): void {
    if (this.isRevoking) return;
    for (const [service, entry] of this.entries) {
      if (this.isChecking(service) && !this.isHeldBack(service))
        void this.getSender(service).send(entry.pool);
    }
  }

  /** Looks for lost servers until it is stopped. */
  start(): void {
    const check = () => {
      if (this.isStopped) return;
      this.checkServers();
      this.system.startTimer(CHECK_INTERVAL_MS, check);
    };
    check();
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all(
      [...this.entries.values()].map(entry => entry.pool.destroy()),
    );
  }

  private checkServers(): void {
    for (const [service, entry] of this.entries) {
      if (this.isSilent(entry)) {
        this.endLostServer(service, 'it is silent');
        this.publishServers();
      } else if (!this.isAccepting(service)) {
        entry.policy.refuseAll('DD3024');
      }
    }
  }

  private isSilent(entry: Entry): boolean {
    const silenceMs = this.system.getNow().monotonicMs - entry.lastSeenMs;
    if (silenceMs > SERVER_SILENCE_MS) return true;
    const unansweredMs = this.getSender(entry.info.service).getUnansweredMs();
    return silenceMs > SHORT_SILENCE_MS && unansweredMs > UNANSWERED_LIMIT_MS;
  }

  /** Lets go of a server that may still run what it was sent until its grants lapse. */
  private endLostServer(service: ServiceName, reason: string): void {
    this.heldBack.add(service);
    this.removeEntry(service, reason);
  }

  private removeEntry(service: ServiceName, reason: string): void {
    const entry = this.entries.get(service);
    if (entry === undefined) return;
    this.log.writeWarning('A backend server is gone.', {service, reason});
    this.entries.delete(service);
    this.getSender(service).reset();
    entry.policy.refuseAll('DD3024');
    void entry.pool.destroy();
  }

  private publishServers(): void {
    this.keeper.setServers([...this.entries.values()].map(entry => entry.info));
  }

  private isChecking(service: ServiceName): boolean {
    return this.getRules(service)?.fencing === 'checked';
  }

  private isHeldBack(service: ServiceName): boolean {
    if (this.heldBack.has(service) && this.getSender(service).hasLapsed())
      this.heldBack.delete(service);
    return this.heldBack.has(service);
  }

  private getSender(service: ServiceName): GrantSender {
    const present = this.senders.get(service);
    if (present !== undefined) return present;
    const source: GrantSource = {
      getGeneration: () => this.owned.getAssignment(service)?.generation ?? 0,
      getSlices: () => this.owned.getHeldSlices(service),
      getLeaseEnd: () => this.keeper.getEnd(),
    };
    const onRefused = () => {
      if (!this.entries.has(service)) return;
      this.endLostServer(service, 'it refuses connections');
      this.publishServers();
    };
    const {system, log} = this;
    const sender = new GrantSender(service, system, source, onRefused, log);
    this.senders.set(service, sender);
    return sender;
  }
}

/** Opens the connections to a server over HTTP. */
export function createServerPool(info: ServerInfo): Dispatcher {
  return new Pool(formatUrl(info.address), {
    connections: Math.max(1, info.connections - 1),
    pipelining: 1,
    connect: {timeout: CONNECT_TIMEOUT_MS},
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}

function isSameAddress(a: ServerInfo, b: ServerInfo): boolean {
  return a.address.ip === b.address.ip && a.address.port === b.address.port;
}

function isSameInfo(a: ServerInfo, b: ServerInfo): boolean {
  return (
    a.slots === b.slots &&
    a.connections === b.connections &&
    a.isLeaving === b.isLeaving
  );
}
