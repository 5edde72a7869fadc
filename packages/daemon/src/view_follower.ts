/**
 * Chooses where this daemon's view comes from: the store itself if this daemon is the relay of its
 * data centre, that relay otherwise, and the store again when no relay serves. Daemons that start
 * while the store is down ask the peers of their settings.
 */
import type {Log} from '@dottereldrift/core/log.js';
import {type System, waitFor} from '@dottereldrift/core/system.js';
import type {Address, HostName} from '@dottereldrift/core/types.js';

import {chooseRelay} from './relay_choice.js';
import type {RelayClient} from './relay_client.js';
import type {StoreView} from './store_view.js';
import type {StoreWatcher} from './store_watcher.js';

/** Time that one watch of a relay waits, which bounds how late it notices that it is cut off. */
const WATCH_WAIT_MS = 2_000;
const RETRY_DELAY_MS = 200;
const MAX_RETRY_DELAY_MS = 2_000;
/** Silence of the store after which followers look for themselves. */
const MAX_STORE_SILENCE_MS = WATCH_WAIT_MS + 1_000;
/** Time for a daemon to become the relay before its followers look for another. */
const TAKE_OVER_MS = 2_000;
/** Time for which a relay that failed is avoided. */
const AVOID_MS = 10_000;
/** Most time that a daemon waits before it goes to the store, so that not all go at once. */
const STORE_JITTER_MS = 500;
/** Time between two looks of a follower at a store that its relay cannot reach. */
const PROBE_INTERVAL_MS = 10_000;

/** Where the view comes from. */
export type ViewSource = 'none' | 'store' | 'relay' | 'peer';

/** What a follower is set up with. */
export interface FollowerSettings {
  readonly host: HostName;
  readonly dataCentre: string;
  readonly peers: readonly Address[];
  /** False makes every daemon follow the store itself. */
  readonly isRelayed: boolean;
}

/** Keeps the view up to date. */
export class ViewFollower {
  private readonly avoidedUntilMs = new Map<HostName, number>();
  private source: ViewSource = 'none';
  private isStopped = false;
  private lastProbeMs = -Infinity;

  constructor(
    private readonly settings: FollowerSettings,
    private readonly system: System,
    private readonly view: StoreView,
    private readonly watcher: StoreWatcher,
    private readonly client: RelayClient,
    private readonly log: Log,
  ) {}

  /** Follows until it is stopped. */
  async run(): Promise<void> {
    let failures = 0;
    while (!this.isStopped) {
      const isDone = this.view.isLoaded()
        ? await this.tryWatch()
        : await this.tryLoad();
      failures = isDone ? 0 : failures + 1;
      if (!isDone) await waitFor(this.system, this.getRetryDelayMs(failures));
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  getSource(): ViewSource {
    return this.source;
  }

  /** Reads the store first; a daemon that cannot takes what a peer knows. */
  private async tryLoad(): Promise<boolean> {
    this.setSource('store');
    if (await this.watcher.tryFollow(WATCH_WAIT_MS)) return true;
    const {peers} = this.settings;
    const index = Math.floor(this.system.getRandom() * peers.length);
    const peer = peers[index];
    if (peer === undefined) return false;
    this.setSource('peer');
    await this.client.watchRelay(peer, () => false);
    return this.view.isLoaded();
  }

  private async tryWatch(): Promise<boolean> {
    const relay = this.settings.isRelayed
      ? chooseRelay(
          this.settings.dataCentre,
          this.view.getLiveSessions(),
          host => this.isAvoided(host),
        )
      : undefined;
    if (relay === undefined || relay.member.host === this.settings.host)
      return this.watchStore(relay === undefined);
    return this.watchRelay(relay.member.host, relay.peerAddress);
  }

  /** Watches the store; a relay that is cut off from it follows another daemon instead. */
  private async watchStore(isFallback: boolean): Promise<boolean> {
    if (isFallback && this.source === 'relay') await this.waitForJitter();
    this.setSource('store');
    if (await this.watcher.tryFollow(WATCH_WAIT_MS)) return true;
    if (this.view.getSilenceMs() > MAX_STORE_SILENCE_MS)
      this.setAvoided(this.settings.host);
    return false;
  }

  private async watchRelay(host: HostName, address: Address): Promise<boolean> {
    this.setSource('relay');
    const startMs = this.system.getNow().monotonicMs;
    let isProbeDue = false;
    await this.client.watchRelay(address, ({storeSilenceMs}) => {
      const nowMs = this.system.getNow().monotonicMs;
      if (this.isStopped || !this.isStillRelay(host)) return false;
      if (storeSilenceMs <= MAX_STORE_SILENCE_MS) return true;
      if (this.view.getSilenceMs() <= MAX_STORE_SILENCE_MS) return false;
      const isNew = nowMs - startMs < TAKE_OVER_MS;
      isProbeDue = !isNew && nowMs - this.lastProbeMs >= PROBE_INTERVAL_MS;
      return !isProbeDue;
    });
    if (this.isStopped || !this.isStillRelay(host)) return true;
    if (isProbeDue && !(await this.tryProbe())) return true;
    this.setAvoided(host);
    return true;
  }

  /** Tells whether the store answers here although the relay does not hear from it. */
  private async tryProbe(): Promise<boolean> {
    await this.waitForJitter();
    const isAnswered = await this.watcher.tryFollow(0);
    if (!isAnswered) this.lastProbeMs = this.system.getNow().monotonicMs;
    return isAnswered;
  }

  private isStillRelay(host: HostName): boolean {
    const relay = chooseRelay(
      this.settings.dataCentre,
      this.view.getLiveSessions(),
      other => this.isAvoided(other),
    );
    return relay?.member.host === host;
  }

  private setAvoided(host: HostName): void {
    const nowMs = this.system.getNow().monotonicMs;
    this.avoidedUntilMs.set(host, nowMs + AVOID_MS);
  }

  private isAvoided(host: HostName): boolean {
    const untilMs = this.avoidedUntilMs.get(host) ?? -Infinity;
    return this.system.getNow().monotonicMs < untilMs;
  }

  private async waitForJitter(): Promise<void> {
    await waitFor(this.system, this.system.getRandom() * STORE_JITTER_MS);
  }

  private setSource(source: ViewSource): void {
    if (source === this.source) return;
    this.source = source;
    this.log.writeInfo('The view comes from another source.', {source});
  }

  private getRetryDelayMs(failures: number): number {
    const limit = Math.min(
      MAX_RETRY_DELAY_MS,
      RETRY_DELAY_MS * 2 ** Math.min(failures, 10),
    );
    return limit * (0.5 + this.system.getRandom() / 2);
  }
}
