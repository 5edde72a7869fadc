/**
 * The backend servers on this host: what they announced, whether they answer, and the grants that
 * they hold.
 */
import {type Dispatcher, Pool} from 'undici';

import type {Log} from '@dottereldrift/core/log.js';
import {formatUrl} from '@dottereldrift/core/member.js';
import type {System} from '@dottereldrift/core/system.js';
import type {ServiceName} from '@dottereldrift/core/types.js';
import type {SlotPolicy} from '@dottereldrift/limits/types.js';
import type {ServerInfo} from '@dottereldrift/membership/types.js';
import {getOwnedSlices} from '@dottereldrift/ownership/slices.js';
import type {Assignment, Slice} from '@dottereldrift/ownership/types.js';
import type {ServiceRules} from '@dottereldrift/manifest/types.js';

import type {SessionKeeper} from './session_keeper.js';

/** Silence after which a server that announced itself is taken for lost. */
export const SERVER_SILENCE_MS = 3_000;

/** Time after which what leaves gets no new work, even if its slices could not be moved. */
export const LEAVING_ADMISSION_MS = 2_500;

const CHECK_INTERVAL_MS = 250;
const GRANT_TIMEOUT_MS = 1_000;
const CONNECT_TIMEOUT_MS = 500;
/** Path at which a server takes grants, followed by the service. */
export const GRANT_PATH = '/dottereldrift/grants/';

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

interface GrantState {
  /** Highest generation that the server has acknowledged. */
  acknowledged: number;
  isSending: boolean;
  isStale: boolean;
}

/** Creates the policy that gives the slots of a server. */
export type PolicyFactory = (service: ServiceName, slots: number) => SlotPolicy;

/** Opens the connections to a server. */
export type ServerPoolFactory = (info: ServerInfo) => Dispatcher;

/** Keeps the servers of this host. */
export class ServerRegistry {
  private readonly entries = new Map<ServiceName, Entry>();
  private readonly grants = new Map<ServiceName, GrantState>();
  private isStopped = false;
  private drainingSinceMs: number | undefined;

  constructor(
    private readonly system: System,
    private readonly keeper: SessionKeeper,
    private readonly createPolicy: PolicyFactory,
    private readonly getAssignment: (
      service: ServiceName,
    ) => Assignment | undefined,
    private readonly getRules: (
      service: ServiceName,
    ) => ServiceRules | undefined,
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
      this.removeEntry(info.service, 'another one took its place');
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

  /** Takes note that a server is gone. */
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
    if (this.getRules(service)?.fencing !== 'checked') return true;
    return (this.grants.get(service)?.acknowledged ?? 0) >= slice.token;
  }

  /** Sends every server its slices and the end of the lease. */
  sendGrants(): void {
    for (const service of this.entries.keys()) void this.sendGrant(service);
  }

  /** Looks for lost servers until it is stopped. */
  start(): void {
    const check = () => {
      if (this.isStopped) return;
      this.checkSilence();
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

  private checkSilence(): void {
    const nowMs = this.system.getNow().monotonicMs;
    for (const [service, entry] of this.entries) {
      if (nowMs - entry.lastSeenMs > SERVER_SILENCE_MS) {
        this.removeEntry(service, 'it is silent');
        this.publishServers();
      }
    }
  }

  private removeEntry(service: ServiceName, reason: string): void {
    const entry = this.entries.get(service);
    if (entry === undefined) return;
    this.log.writeWarning('A backend server is gone.', {service, reason});
    this.entries.delete(service);
    this.grants.delete(service);
    entry.policy.refuseAll('DD3024');
    void entry.pool.destroy();
  }

  private publishServers(): void {
    this.keeper.setServers([...this.entries.values()].map(entry => entry.info));
  }

  private async sendGrant(service: ServiceName): Promise<void> {
    const state = this.getGrantState(service);
    if (state.isSending) {
      state.isStale = true;
      return;
    }
    state.isSending = true;
    do {
      state.isStale = false;
      await this.tryGrant(service, state);
    } while (state.isStale && this.entries.has(service));
    state.isSending = false;
  }

  private async tryGrant(
    service: ServiceName,
    state: GrantState,
  ): Promise<void> {
    const entry = this.entries.get(service);
    const assignment = this.getAssignment(service);
    if (entry === undefined || assignment === undefined) return;
    const slices = getOwnedSlices(assignment.slices, this.keeper.getMember());
    const end = this.keeper.getEnd();
    const isRenewal = state.acknowledged === assignment.generation;
    const grant = {
      generation: assignment.generation,
      leaseEndUnixMs: end.wallMs,
      leaseEndMonotonicMs: end.monotonicMs,
      ...(isRenewal
        ? {}
        : {slices: slices.map(slice => [slice.start, slice.token])}),
    };
    try {
      const answer = await entry.pool.request({
        method: 'PUT',
        path: `${GRANT_PATH}${service}`,
        headers: {'content-type': 'application/json'},
        body: JSON.stringify(grant),
        signal: AbortSignal.timeout(GRANT_TIMEOUT_MS),
      });
      await answer.body.dump();
      if (answer.statusCode < 300) state.acknowledged = assignment.generation;
      else state.acknowledged = 0;
    } catch (error) {
      state.acknowledged = 0;
      this.log.writeDebug('A grant was not taken.', {
        service,
        reason: String(error),
      });
    }
  }

  private getGrantState(service: ServiceName): GrantState {
    const present = this.grants.get(service);
    if (present !== undefined) return present;
    const state = {acknowledged: 0, isSending: false, isStale: false};
    this.grants.set(service, state);
    return state;
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
