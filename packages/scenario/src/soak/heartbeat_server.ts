/**
 * A simulated backend server that receives its grants in heartbeat answers. A grant runs from the time at which the
 * heartbeat was sent. The server releases keys that an answer omits and reports them in its next heartbeat.
 */
import type {
  FreedKeys,
  HeldKeys,
  KeyGrant,
} from '@dottereldrift/daemon/heartbeat_grants.js';
import type {ServerHeartbeat} from '@dottereldrift/daemon/server_types.js';
import {isCovering, isOverlapping} from '@dottereldrift/ownership/key_range.js';
import type {Address} from '@dottereldrift/core/types.js';

import type {Endpoint} from '../virtual_network.js';
import type {PoolServer, ServerAnswer} from '../virtual_server.js';
import type {ObservedServer, OwnershipChecker} from './ownership_checker.js';

const HEARTBEAT_INTERVAL_MS = 870;
const RELEASE_INTERVAL_MS = 100;
/** Time after which the answer to a heartbeat counts as lost. */
const ANSWER_TIMEOUT_MS = 1_000;
/** Largest fraction by which the server's clock runs slow. */
const MAX_CLOCK_SLOWDOWN = 0.02;
const SERVICE_MS = 20;
const LONG_SERVICE_MS = 900;
const LONG_SERVICE_SHARE = 0.1;
const SLOTS = 6;
const CONNECTIONS = 120;

/** Identity of a heartbeat server and its connections to the simulation. */
export interface HeartbeatServerOptions {
  readonly endpoint: Endpoint;
  readonly service: string;
  readonly address: Address;
  readonly instanceId: string;
  readonly ownershipChecker: OwnershipChecker;
  /** Sends a heartbeat to the daemon on the same host. */
  readonly callDaemon: (
    heartbeat: ServerHeartbeat,
  ) => Promise<KeyGrant | 'stale' | undefined>;
  /** Notifies the daemon that the server is shutting down. */
  readonly announceEnd: (instanceId: string) => void;
}

/** A request in progress, with the keys and the token under which it runs. */
interface RunningRequest {
  readonly keys: HeldKeys;
}

/** A backend server whose grants expire. */
export class HeartbeatServer implements ObservedServer, PoolServer {
  readonly endpoint: Endpoint;
  readonly serverIncarnation: string;
  private readonly startedAtMs: number;
  /** Real time, in milliseconds, that passes while the server's clock advances by one millisecond. */
  private readonly realMsPerClockMs: number;
  private held: readonly HeldKeys[] = [];
  private holdEndMs = -Infinity;
  private freed: readonly FreedKeys[] = [];
  private readonly seenGrants: HeldKeys[] = [];
  private readonly runningRequests = new Set<RunningRequest>();
  private sequence = 0;
  private isLeaving = false;

  constructor(private readonly options: HeartbeatServerOptions) {
    this.endpoint = options.endpoint;
    const {process} = this.endpoint;
    this.startedAtMs = Math.floor(process.getNow().wallMs);
    this.serverIncarnation = `${options.instanceId}/${this.startedAtMs}`;
    this.realMsPerClockMs = 1 / (1 - MAX_CLOCK_SLOWDOWN * process.getRandom());
  }

  start(): void {
    void this.sendHeartbeats();
  }

  /**
   * Ends the process after `serveMs`. An announced drain reports `isLeaving` in heartbeats and its end when it stops;
   * otherwise the server reports its end at once and goes on with its heartbeats until it stops.
   */
  drain(serveMs: number, isAnnounced: boolean): void {
    const {instanceId, announceEnd} = this.options;
    this.isLeaving = isAnnounced;
    if (!isAnnounced) announceEnd(instanceId);
    this.endpoint.process.startTimer(serveMs, () => {
      if (isAnnounced) announceEnd(instanceId);
      this.endpoint.process.kill();
    });
  }

  isRunning(): boolean {
    return this.endpoint.process.isRunning();
  }

  listKeysInUse(): readonly HeldKeys[] {
    if (this.isExpired()) return [];
    return [...this.held, ...[...this.runningRequests].map(({keys}) => keys)];
  }

  /** Runs a request if the server holds its key; otherwise refuses it as not run. */
  serve(
    _path: string,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): Promise<ServerAnswer> {
    const {process} = this.endpoint;
    const key = Number(headers['request-key']);
    const keys = {first: key, last: key};
    const range = this.isExpired()
      ? undefined
      : this.held.find(held => isCovering(held, keys));
    if (range === undefined) {
      const refused = {'dottereldrift-refused': 'not-run'};
      return Promise.resolve({status: 503, headers: refused, body: 'no grant'});
    }
    const request = {keys: {...keys, token: range.token}};
    this.runningRequests.add(request);
    const isLong = process.getRandom() < LONG_SERVICE_SHARE;
    const serviceMs = (isLong ? LONG_SERVICE_MS : SERVICE_MS) * 2;
    return new Promise(resolve => {
      process.startTimer(serviceMs * process.getRandom(), () => {
        this.runningRequests.delete(request);
        resolve({status: 200, headers: {}, body: 'done'});
      });
    });
  }

  private async sendHeartbeats(): Promise<void> {
    const {process} = this.endpoint;
    while (process.isRunning()) {
      await this.sendHeartbeat();
      const isReleasing = this.listRevokedKeysInUse().length > 0;
      const hasRelease = isReleasing || this.freed.length > 0;
      const delayMs = hasRelease ? RELEASE_INTERVAL_MS : HEARTBEAT_INTERVAL_MS;
      await new Promise<void>(resolve => process.startTimer(delayMs, resolve));
    }
  }

  private async sendHeartbeat(): Promise<void> {
    const {callDaemon, service, address, instanceId} = this.options;
    this.dropExpiredGrant();
    this.sequence += 1;
    const sentAtMs = this.endpoint.process.getNow().monotonicMs;
    const {freed} = this;
    const heartbeat: ServerHeartbeat = {
      info: {
        service,
        address,
        slots: SLOTS,
        connections: CONNECTIONS,
        isLeaving: this.isLeaving,
        life: this.serverIncarnation,
      },
      instanceId,
      startedAtMs: this.startedAtMs,
      sequence: this.sequence,
      report: {held: [...this.held, ...this.listRevokedKeysInUse()], freed},
    };
    const answer = await callDaemon(heartbeat).catch(() => 'lost' as const);
    const nowMs = this.endpoint.process.getNow().monotonicMs;
    if (answer === 'lost' || nowMs - sentAtMs > ANSWER_TIMEOUT_MS) return;
    this.freed = this.freed.filter(keys => !freed.includes(keys));
    if (answer !== undefined && answer !== 'stale')
      this.takeGrant(answer, sentAtMs);
  }

  private takeGrant({keys, holdMs}: KeyGrant, sentAtMs: number): void {
    const endMs = sentAtMs + holdMs * this.realMsPerClockMs;
    if (endMs <= this.endpoint.process.getNow().monotonicMs) return;
    this.dropExpiredGrant();
    const taken = keys
      .map(({first, last, token}) => ({first, last, token}))
      .filter(range => !this.hasSeenHigherToken(range));
    this.releaseOmittedKeys(taken);
    this.held = taken;
    this.holdEndMs = endMs;
    this.seenGrants.push(...taken.filter(range => !this.hasSeen(range)));
    this.options.ownershipChecker.checkGrant(this, taken);
  }

  /** Queues the held key ranges that an answer omits, for the report of the next heartbeat. */
  private releaseOmittedKeys(taken: readonly HeldKeys[]): void {
    const omitted = this.held.flatMap(range =>
      listUncoveredParts(range, taken),
    );
    const freed = omitted.map(({first, last}) => {
      const handover = `${this.serverIncarnation} ${first}-${last}`;
      return {first, last, handover};
    });
    this.freed = [...this.freed, ...freed];
  }

  private hasSeen(range: HeldKeys): boolean {
    return this.seenGrants.some(
      other => other.token === range.token && isCovering(other, range),
    );
  }

  private hasSeenHigherToken(range: HeldKeys): boolean {
    return this.seenGrants.some(
      other => other.token > range.token && isOverlapping(other, range),
    );
  }

  /** Returns the keys of running requests that the server no longer holds. */
  private listRevokedKeysInUse(): readonly HeldKeys[] {
    return [...this.runningRequests]
      .map(({keys}) => keys)
      .filter(keys => !this.held.some(held => isCovering(held, keys)));
  }

  private isExpired(): boolean {
    return this.endpoint.process.getNow().monotonicMs >= this.holdEndMs;
  }

  /** Drops an expired grant together with the requests that still run under it. */
  private dropExpiredGrant(): void {
    if (!this.isExpired()) return;
    this.held = [];
    this.runningRequests.clear();
  }
}

/** Returns the parts of a key range that none of the other ranges covers. */
function listUncoveredParts(
  range: HeldKeys,
  others: readonly HeldKeys[],
): readonly HeldKeys[] {
  let parts: readonly HeldKeys[] = [range];
  for (const other of others) {
    parts = parts.flatMap(part => {
      if (!isOverlapping(part, other)) return [part];
      const before = {...part, last: other.first - 1};
      const after = {...part, first: other.last + 1};
      return [before, after].filter(({first, last}) => first <= last);
    });
  }
  return parts;
}
