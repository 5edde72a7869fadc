/**
 * A backend server in virtual time that gets its keys in the answers to its heartbeats: it counts a grant from
 * when it sent the heartbeat, lets go of what an answer leaves out, and says so in the next heartbeat.
 */
import type {
  FreedKeys,
  HeldKeys,
  KeyGrant,
} from '@dottereldrift/daemon/heartbeat_grants.js';
import type {ServerHeartbeat} from '@dottereldrift/daemon/server_types.js';
import {isCovering, isOverlapping} from '@dottereldrift/ownership/key_range.js';
import type {Address} from '@dottereldrift/core/types.js';

import type {Place} from '../virtual_network.js';
import type {PoolServer, ServerAnswer} from '../virtual_server.js';
import type {JudgedServer, OwnershipJudge} from './ownership_judge.js';

const HEARTBEAT_INTERVAL_MS = 870;
const RELEASE_INTERVAL_MS = 100;
/** Time after which an answer to a heartbeat is taken for lost. */
const ANSWER_LIMIT_MS = 1_000;
/** Most by which the server's clock runs slow. */
const MAX_SLOWNESS = 0.02;
const SERVICE_MS = 20;
const LONG_SERVICE_MS = 900;
const LONG_SHARE = 0.1;
const SLOTS = 6;
const CONNECTIONS = 120;

/** What a heartbeat server is. */
export interface HeartbeatServerOptions {
  readonly place: Place;
  readonly service: string;
  readonly address: Address;
  readonly instanceId: string;
  readonly judge: OwnershipJudge;
  /** Gives a heartbeat to the daemon beside it. */
  readonly callDaemon: (
    heartbeat: ServerHeartbeat,
  ) => Promise<KeyGrant | 'stale' | undefined>;
  /** Tells the daemon that the server ends. */
  readonly tellEnd: (instanceId: string) => void;
}

/** Keys on which a request runs. */
interface RunningWork {
  readonly keys: HeldKeys;
}

/** A server with grants that end. */
export class HeartbeatServer implements JudgedServer, PoolServer {
  readonly place: Place;
  readonly life: string;
  private readonly bornAtMs: number;
  /** Time that passes while the server's clock counts one millisecond, in milliseconds. */
  private readonly slowness: number;
  private held: readonly HeldKeys[] = [];
  private holdEndMs = -Infinity;
  private freed: readonly FreedKeys[] = [];
  private readonly seen: HeldKeys[] = [];
  private readonly running = new Set<RunningWork>();
  private sequence = 0;
  private isLeaving = false;

  constructor(private readonly options: HeartbeatServerOptions) {
    this.place = options.place;
    const {process} = this.place;
    this.bornAtMs = Math.floor(process.getNow().wallMs);
    this.life = `${options.instanceId}/${this.bornAtMs}`;
    this.slowness = 1 / (1 - MAX_SLOWNESS * process.getRandom());
  }

  start(): void {
    void this.sendHeartbeats();
  }

  /** Takes no new work, says so first or only at its end, and stops after a while. */
  drain(serveMs: number, isAnnounced: boolean): void {
    const {instanceId, tellEnd} = this.options;
    this.isLeaving = isAnnounced;
    if (!isAnnounced) tellEnd(instanceId);
    this.place.process.startTimer(serveMs, () => {
      if (isAnnounced) tellEnd(instanceId);
      this.place.process.kill();
    });
  }

  isRunning(): boolean {
    return this.place.process.isRunning();
  }

  listBoundKeys(): readonly HeldKeys[] {
    if (this.isExpired()) return [];
    return [...this.held, ...[...this.running].map(({keys}) => keys)];
  }

  /** Runs a request if its key is held. */
  serve(
    _path: string,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): Promise<ServerAnswer> {
    const {process} = this.place;
    const key = Number(headers['request-key']);
    const keys = {first: key, last: key};
    const row = this.isExpired()
      ? undefined
      : this.held.find(held => isCovering(held, keys));
    if (row === undefined) {
      const refused = {'dottereldrift-refused': 'not-run'};
      return Promise.resolve({status: 503, headers: refused, body: 'no grant'});
    }
    const work = {keys: {...keys, token: row.token}};
    this.running.add(work);
    const isLong = process.getRandom() < LONG_SHARE;
    const serviceMs = (isLong ? LONG_SERVICE_MS : SERVICE_MS) * 2;
    return new Promise(resolve => {
      process.startTimer(serviceMs * process.getRandom(), () => {
        this.running.delete(work);
        resolve({status: 200, headers: {}, body: 'done'});
      });
    });
  }

  private async sendHeartbeats(): Promise<void> {
    const {process} = this.place;
    while (process.isRunning()) {
      await this.sendHeartbeat();
      const isReleasing = this.listWorkLeftOut().length > 0;
      const isTelling = isReleasing || this.freed.length > 0;
      const delayMs = isTelling ? RELEASE_INTERVAL_MS : HEARTBEAT_INTERVAL_MS;
      await new Promise<void>(resolve => process.startTimer(delayMs, resolve));
    }
  }

  private async sendHeartbeat(): Promise<void> {
    const {callDaemon, service, address, instanceId} = this.options;
    this.dropExpired();
    this.sequence += 1;
    const sentAtMs = this.place.process.getNow().monotonicMs;
    const {freed} = this;
    const heartbeat: ServerHeartbeat = {
      info: {
        service,
        address,
        slots: SLOTS,
        connections: CONNECTIONS,
        isLeaving: this.isLeaving,
        life: this.life,
      },
      instanceId,
      startedAtMs: this.bornAtMs,
      sequence: this.sequence,
      report: {held: [...this.held, ...this.listWorkLeftOut()], freed},
    };
    const answer = await callDaemon(heartbeat).catch(() => 'lost' as const);
    const nowMs = this.place.process.getNow().monotonicMs;
    if (answer === 'lost' || nowMs - sentAtMs > ANSWER_LIMIT_MS) return;
    this.freed = this.freed.filter(keys => !freed.includes(keys));
    if (answer !== undefined && answer !== 'stale')
      this.takeGrant(answer, sentAtMs);
  }

  private takeGrant({keys, holdMs}: KeyGrant, sentAtMs: number): void {
    const endMs = sentAtMs + holdMs * this.slowness;
    if (endMs <= this.place.process.getNow().monotonicMs) return;
    this.dropExpired();
    const taken = keys
      .map(({first, last, token}) => ({first, last, token}))
      .filter(row => !this.hasSeenHigher(row));
    this.releaseLeftOut(taken);
    this.held = taken;
    this.holdEndMs = endMs;
    this.seen.push(...taken.filter(row => !this.hasSeen(row)));
    this.options.judge.observeGrant(this, taken);
  }

  /** Tells the next heartbeat of the parts of rows that an answer has left out. */
  private releaseLeftOut(taken: readonly HeldKeys[]): void {
    const left = this.held.flatMap(row => cutOutRows(row, taken));
    const freed = left.map(({first, last}) => {
      const handover = `${this.life} ${first}-${last}`;
      return {first, last, handover};
    });
    this.freed = [...this.freed, ...freed];
  }

  private hasSeen(row: HeldKeys): boolean {
    return this.seen.some(
      other => other.token === row.token && isCovering(other, row),
    );
  }

  private hasSeenHigher(row: HeldKeys): boolean {
    return this.seen.some(
      other => other.token > row.token && isOverlapping(other, row),
    );
  }

  /** Returns the keys that requests still run on and that are not held any more. */
  private listWorkLeftOut(): readonly HeldKeys[] {
    return [...this.running]
      .map(({keys}) => keys)
      .filter(keys => !this.held.some(held => isCovering(held, keys)));
  }

  private isExpired(): boolean {
    return this.place.process.getNow().monotonicMs >= this.holdEndMs;
  }

  /** Work that outlasts its grant ends with it. */
  private dropExpired(): void {
    if (!this.isExpired()) return;
    this.held = [];
    this.running.clear();
  }
}

/** Returns the parts of a row that no other row covers. */
function cutOutRows(
  row: HeldKeys,
  others: readonly HeldKeys[],
): readonly HeldKeys[] {
  let parts: readonly HeldKeys[] = [row];
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
