/**
 * Chooses where this daemon's view comes from: the store itself if this daemon is the relay of its
 * data centre, that relay otherwise, and the store again when no relay serves. Where a part of the fleet
 * is cut off from the store, relay included, a daemon follows any other that hears from it. Daemons that
 * start while the store is down ask the peers of their settings.
 */
import type {Log} from '@dottereldrift/core/log.js';
import {type System, waitFor} from '@dottereldrift/core/system.js';
import type {Address, HostName} from '@dottereldrift/core/types.js';

import {chooseRelay} from './relay_choice.js';
import type {FollowRule, RelayClient} from './relay_client.js';
import type {StoreView} from './store_view.js';
import type {StoreWatcher} from './store_watcher.js';

/** Time that one watch of a relay waits, which bounds how late it notices that it is cut off. */
const WATCH_WAIT_MS = 2_000;
const RETRY_DELAY_MS = 200;
const MAX_RETRY_DELAY_MS = 2_000;
/** Silence of the store after which followers look for themselves. */
const MAX_STORE_SILENCE_MS = WATCH_WAIT_MS + 1_000;
/** Time for which a relay that failed is avoided. */
const AVOID_MS = 10_000;
/** Most time that a daemon waits before it goes to the store, so that not all go at once. */
const STORE_JITTER_MS = 500;
/** Most time between two looks of a follower at a store that its relay cannot reach. */
const PROBE_INTERVAL_MS = 10_000;
/** Time between two rounds in which other daemons are asked whether they hear from the store. */
const ASK_INTERVAL_MS = 1_000;
/** Daemons that are asked in a round. */
const ASKED_PER_ROUND = 4;
/** Time in which a daemon that is asked has to answer. */
const ASK_TIMEOUT_MS = 300;
/** Time for which the store, or a daemon that hears from it, is followed in place of the relay. */
const ALTERNATE_MS = 10_000;

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
  private nextProbeMs = -Infinity;
  private lastAskMs = -Infinity;
  /** Tells whether the view came last from a daemon that was followed in place of the relay. */
  private isAlternate = false;

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
    if (await this.watcher.tryFollow(WATCH_WAIT_MS)) {
      this.isAlternate = false;
      return true;
    }
    if (!this.isAlternate && this.isFresh()) return false;
    this.setAvoided(this.settings.host);
    return this.tryAlternate(this.settings.host);
  }

  private async watchRelay(host: HostName, address: Address): Promise<boolean> {
    this.setSource('relay');
    const startMs = this.system.getNow().monotonicMs;
    let isSilent = false;
    await this.client.watchRelay(address, ({storeSilenceMs}) => {
      if (this.isStopped || !this.isStillRelay(host)) return false;
      isSilent = storeSilenceMs > MAX_STORE_SILENCE_MS;
      if (!isSilent) {
        this.isAlternate = false;
        return true;
      }
      return !this.isAlternate && !this.isFresh() && !this.isAskDue(startMs);
    });
    if (this.isStopped || !this.isStillRelay(host)) return true;
    if (!isSilent || (!this.isAlternate && this.isFresh()))
      this.setAvoided(host);
    else await this.followAnother(host);
    return true;
  }

  /** Follows the store or a daemon that hears from it, where the relay does not. */
  private async followAnother(host: HostName): Promise<void> {
    // Another daemon is asked first, for a store that is cut off takes a second to show it. After one was
    // followed the view is fresh and there is time.
    if (!this.isAlternate && (await this.tryAlternate(host))) return;
    if (this.isProbeDue() && (await this.tryProbe())) {
      await this.followStore();
    } else if (this.isAlternate) {
      await this.tryAlternate(host);
    }
  }

  /** Follows the store for a time, so that daemons that cannot reach it may follow this one. */
  private async followStore(): Promise<void> {
    const endMs = this.system.getNow().monotonicMs + ALTERNATE_MS;
    this.isAlternate = false;
    this.setSource('store');
    while (!this.isStopped && this.system.getNow().monotonicMs < endMs)
      if (!(await this.watcher.tryFollow(WATCH_WAIT_MS))) return;
  }

  /** Follows some other daemon while it hears from the store, for a time; false when none was found. */
  private async tryAlternate(relay: HostName): Promise<boolean> {
    const others = this.view
      .getLiveSessions()
      .filter(({member: {host}}) => host !== relay && !this.isSelf(host));
    this.isAlternate = false;
    for (let asked = 0; asked < ASKED_PER_ROUND && others.length > 0; asked++) {
      const index = Math.floor(this.system.getRandom() * others.length);
      const [other] = others.splice(index, 1);
      if (other === undefined || this.isStopped) break;
      await this.watchAlternate(other.peerAddress);
      if (this.isAlternate) return true;
    }
    this.lastAskMs = this.system.getNow().monotonicMs;
    return false;
  }

  /** Follows a daemon if it hears from the store; one that ends at once is not left without a pause. */
  private async watchAlternate(address: Address): Promise<void> {
    const startMs = this.system.getNow().monotonicMs;
    const endMs = startMs + ALTERNATE_MS;
    const mayGoOn: FollowRule = ({storeSilenceMs}) => {
      if (storeSilenceMs > MAX_STORE_SILENCE_MS) return false;
      this.isAlternate = true;
      this.setSource('peer');
      return !this.isStopped && this.system.getNow().monotonicMs < endMs;
    };
    await this.client.watchRelay(address, mayGoOn, ASK_TIMEOUT_MS);
    const passedMs = this.system.getNow().monotonicMs - startMs;
    if (this.isAlternate && passedMs < ASK_INTERVAL_MS)
      await waitFor(this.system, ASK_INTERVAL_MS - passedMs);
  }

  /** Tells whether the store was heard of lately. */
  private isFresh(): boolean {
    return this.view.getSilenceMs() <= MAX_STORE_SILENCE_MS;
  }

  /** A relay that was just chosen is given time to hear from the store. */
  private isAskDue(watchedSinceMs: number): boolean {
    const nowMs = this.system.getNow().monotonicMs;
    const isNew = nowMs - watchedSinceMs < ASK_INTERVAL_MS;
    return !isNew && nowMs - this.lastAskMs >= ASK_INTERVAL_MS;
  }

  private isProbeDue(): boolean {
    return this.system.getNow().monotonicMs >= this.nextProbeMs;
  }

  private isSelf(host: HostName): boolean {
    return host === this.settings.host;
  }

  /** Tells whether the store answers here although the relay does not hear from it. */
  private async tryProbe(): Promise<boolean> {
    await this.waitForJitter();
    const isAnswered = await this.watcher.tryFollow(0);
    if (isAnswered) return true;
    // Spread by chance, so that some daemon soon hears of a store that is back, and the others of it.
    const share = (1 + this.system.getRandom()) / 2;
    const nowMs = this.system.getNow().monotonicMs;
    this.nextProbeMs = nowMs + PROBE_INTERVAL_MS * share;
    return false;
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
