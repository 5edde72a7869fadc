/**
 * Chooses the source of this daemon's view: the store itself if this daemon is the relay of its data
 * centre or no relay is available, and that relay otherwise. When a partition separates the relay from
 * the store, a daemon follows any other daemon with store contact. Daemons that start while the store is
 * down load the view from one of the peers in their settings.
 */
import type {Log} from '@dottereldrift/core/log.js';
import {type System, waitFor} from '@dottereldrift/core/system.js';
import type {Address, HostName} from '@dottereldrift/core/types.js';

import {chooseRelay} from './relay_choice.js';
import type {FollowCondition, RelayClient} from './relay_client.js';
import type {StoreView} from './store_view.js';
import type {StoreWatcher} from './store_watcher.js';

/** Maximum duration of one watch by a relay, which bounds how late it detects that it is cut off. */
const WATCH_WAIT_MS = 2_000;
/** Time after which a daemon that watches the store counts as a reader that others may follow. */
const READER_SETTLE_MS = 1_000;
const RETRY_DELAY_MS = 200;
const MAX_RETRY_DELAY_MS = 2_000;
/** Time without store contact after which followers of a relay look for another source. */
const MAX_STORE_SILENCE_MS = WATCH_WAIT_MS + 1_000;
/** Time for which a failed relay is not chosen again. */
const RELAY_AVOIDANCE_MS = 10_000;
/** Maximum random delay before a daemon falls back to the store, so that not all do so at once. */
const MAX_STORE_JITTER_MS = 500;
/** Maximum time between two probes by a follower of a store that its relay cannot reach. */
const MAX_PROBE_INTERVAL_MS = 10_000;
/** Time between two searches for a daemon with store contact. */
const SEARCH_INTERVAL_MS = 1_000;
/** Number of daemons that are tried in one search. */
const CANDIDATES_PER_SEARCH = 4;
/** Time within which a daemon that is tried must send its first message. */
const CANDIDATE_TIMEOUT_MS = 300;
/** Time for which the store or a daemon with store contact is followed in place of the relay. */
const ALTERNATE_SOURCE_MS = 10_000;

/** Source of the view. */
export type ViewSource = 'none' | 'store' | 'relay' | 'peer';

/** Settings of a view follower. */
export interface FollowerSettings {
  readonly host: HostName;
  readonly dataCentre: string;
  readonly peers: readonly Address[];
  /** If false, every daemon follows the store directly. */
  readonly isRelayed: boolean;
}

/** Keeps the view up to date from the store, a relay or another daemon. */
export class ViewFollower {
  private readonly avoidedUntilMs = new Map<HostName, number>();
  private source: ViewSource = 'none';
  private isStopped = false;
  private nextProbeMs = -Infinity;
  private lastSearchMs = -Infinity;
  /** Whether the view was last updated by a daemon that was followed in place of the relay. */
  private isFollowingAlternate = false;
  private followedAddress: Address | undefined;
  private sourceSinceMs = -Infinity;
  private onReader: () => void = () => {};
  private endWait: () => void = () => {};

  constructor(
    private readonly settings: FollowerSettings,
    private readonly system: System,
    private readonly view: StoreView,
    private readonly watcher: StoreWatcher,
    private readonly client: RelayClient,
    private readonly log: Log,
  ) {}

  /** Keeps the view up to date until stopped. */
  async run(): Promise<void> {
    let failures = 0;
    while (!this.isStopped) {
      const isSuccessful = this.view.isLoaded()
        ? await this.tryWatch()
        : await this.tryLoad();
      failures = isSuccessful ? 0 : failures + 1;
      if (!isSuccessful) await this.waitForRetry(failures);
    }
  }

  stop(): void {
    this.isStopped = true;
    this.endWait();
  }

  /** Ends the delay before the next attempt, because the store responds to another call of this daemon again. */
  retryNow(): void {
    this.endWait();
  }

  getSource(): ViewSource {
    return this.source;
  }

  /** Returns the address of the daemon that is followed; undefined if the view comes from the store. */
  getFollowedAddress(): Address | undefined {
    return this.followedAddress;
  }

  /**
   * Tells whether this daemon reads the store itself, so that others may follow it. A daemon that has just turned
   * to the store, as all do while a fleet starts, may soon find a relay.
   */
  isStoreReader(): boolean {
    return (
      this.source === 'store' &&
      this.system.getNow().monotonicMs - this.sourceSinceMs >= READER_SETTLE_MS
    );
  }

  /** Sets the listener that is called once this daemon reads the store itself. */
  setReaderListener(listener: () => void): void {
    this.onReader = listener;
  }

  /** Updates the view once with what another daemon has and this one lacks. */
  async updateFrom(address: Address): Promise<void> {
    await this.client.followDaemon(address, () => false);
  }

  /** Loads the view from the store, or from a randomly selected peer if the store cannot be read. */
  private async tryLoad(): Promise<boolean> {
    this.setSource('store');
    if (await this.watcher.tryRefreshView(WATCH_WAIT_MS)) return true;
    const {peers} = this.settings;
    const index = Math.floor(this.system.getRandom() * peers.length);
    const peer = peers[index];
    if (peer === undefined) return false;
    this.setSource('peer', peer);
    await this.client.followDaemon(peer, () => false);
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

  /** Watches the store. A relay that is cut off from the store follows another daemon instead. */
  private async watchStore(isFallback: boolean): Promise<boolean> {
    if (isFallback && this.source === 'relay') await this.waitForJitter();
    this.setSource('store');
    if (await this.watcher.tryRefreshView(WATCH_WAIT_MS)) {
      this.isFollowingAlternate = false;
      return true;
    }
    if (!this.isFollowingAlternate && this.isFresh()) return false;
    this.setAvoided(this.settings.host);
    return this.tryFollowAlternate(this.settings.host);
  }

  private async watchRelay(host: HostName, address: Address): Promise<boolean> {
    this.setSource('relay', address);
    const startedAtMs = this.system.getNow().monotonicMs;
    let isStoreSilent = false;
    let isBehind = false;
    await this.client.followDaemon(address, response => {
      const {storeSilenceMs} = response;
      if (this.isStopped || !this.isStillRelay(host)) return false;
      isBehind = this.client.isOfEarlierEra(response);
      if (isBehind) return false;
      isStoreSilent = storeSilenceMs > MAX_STORE_SILENCE_MS;
      if (!isStoreSilent) {
        this.isFollowingAlternate = false;
        return true;
      }
      return (
        !this.isFollowingAlternate &&
        !this.isFresh() &&
        !this.isSearchDue(startedAtMs)
      );
    });
    if (this.isStopped || !this.isStillRelay(host)) return true;
    const isLost =
      !isStoreSilent || (!this.isFollowingAlternate && this.isFresh());
    if (isBehind || isLost) this.setAvoided(host);
    else await this.followAlternateSource(host);
    return true;
  }

  /** Follows the store or a daemon with store contact while the relay has none. */
  private async followAlternateSource(host: HostName): Promise<void> {
    // Other daemons are tried first, because it takes a second to detect that the store is unreachable.
    // Once another daemon has been followed, the view is fresh and there is time for a probe.
    if (!this.isFollowingAlternate && (await this.tryFollowAlternate(host)))
      return;
    if (this.isProbeDue() && (await this.tryProbeStore())) {
      await this.followStore();
    } else if (this.isFollowingAlternate) {
      await this.tryFollowAlternate(host);
    }
  }

  /** Follows the store for a limited time, so that daemons that cannot reach it can follow this one. */
  private async followStore(): Promise<void> {
    const endMs = this.system.getNow().monotonicMs + ALTERNATE_SOURCE_MS;
    this.isFollowingAlternate = false;
    this.setSource('store');
    while (!this.isStopped && this.system.getNow().monotonicMs < endMs)
      if (!(await this.watcher.tryRefreshView(WATCH_WAIT_MS))) return;
  }

  /** Follows a random daemon with store contact for a limited time; returns false if none was found. */
  private async tryFollowAlternate(relay: HostName): Promise<boolean> {
    const candidates = this.view
      .getLiveSessions()
      .filter(({member: {host}}) => host !== relay && !this.isSelf(host));
    this.isFollowingAlternate = false;
    for (
      let attempt = 0;
      attempt < CANDIDATES_PER_SEARCH && candidates.length > 0;
      attempt++
    ) {
      const index = Math.floor(this.system.getRandom() * candidates.length);
      const [candidate] = candidates.splice(index, 1);
      if (candidate === undefined || this.isStopped) break;
      await this.followCandidate(candidate.peerAddress);
      if (this.isFollowingAlternate) return true;
    }
    this.lastSearchMs = this.system.getNow().monotonicMs;
    return false;
  }

  /** Follows a daemon while it has store contact. If its stream ends early, waits before the next attempt. */
  private async followCandidate(address: Address): Promise<void> {
    const startedAtMs = this.system.getNow().monotonicMs;
    const endMs = startedAtMs + ALTERNATE_SOURCE_MS;
    const mayContinue: FollowCondition = response => {
      const isSilent = response.storeSilenceMs > MAX_STORE_SILENCE_MS;
      if (isSilent || this.client.isOfEarlierEra(response)) return false;
      this.isFollowingAlternate = true;
      this.setSource('peer', address);
      return !this.isStopped && this.system.getNow().monotonicMs < endMs;
    };
    await this.client.followDaemon(address, mayContinue, CANDIDATE_TIMEOUT_MS);
    const elapsedMs = this.system.getNow().monotonicMs - startedAtMs;
    if (this.isFollowingAlternate && elapsedMs < SEARCH_INTERVAL_MS)
      await waitFor(this.system, SEARCH_INTERVAL_MS - elapsedMs);
  }

  /** Checks whether the view is based on recent store contact. */
  private isFresh(): boolean {
    return this.view.getSilenceMs() <= MAX_STORE_SILENCE_MS;
  }

  /** Checks whether a search is due. A relay that was just chosen gets time to reach the store first. */
  private isSearchDue(watchedSinceMs: number): boolean {
    const nowMs = this.system.getNow().monotonicMs;
    const isNew = nowMs - watchedSinceMs < SEARCH_INTERVAL_MS;
    return !isNew && nowMs - this.lastSearchMs >= SEARCH_INTERVAL_MS;
  }

  private isProbeDue(): boolean {
    return this.system.getNow().monotonicMs >= this.nextProbeMs;
  }

  private isSelf(host: HostName): boolean {
    return host === this.settings.host;
  }

  /** Checks whether this daemon can reach the store although the relay cannot. */
  private async tryProbeStore(): Promise<boolean> {
    await this.waitForJitter();
    const isReachable = await this.watcher.tryRefreshView(0);
    if (isReachable) return true;
    // Randomized, so that some daemon soon detects that the store is back and the others can follow it.
    const fraction = (1 + this.system.getRandom()) / 2;
    const nowMs = this.system.getNow().monotonicMs;
    this.nextProbeMs = nowMs + MAX_PROBE_INTERVAL_MS * fraction;
    return false;
  }

  private isStillRelay(host: HostName): boolean {
    const relay = chooseRelay(
      this.settings.dataCentre,
      this.view.getLiveSessions(),
      candidate => this.isAvoided(candidate),
    );
    return relay?.member.host === host;
  }

  private setAvoided(host: HostName): void {
    const nowMs = this.system.getNow().monotonicMs;
    this.avoidedUntilMs.set(host, nowMs + RELAY_AVOIDANCE_MS);
  }

  private isAvoided(host: HostName): boolean {
    const untilMs = this.avoidedUntilMs.get(host) ?? -Infinity;
    return this.system.getNow().monotonicMs < untilMs;
  }

  private async waitForJitter(): Promise<void> {
    await waitFor(this.system, this.system.getRandom() * MAX_STORE_JITTER_MS);
  }

  private setSource(source: ViewSource, followed?: Address): void {
    this.followedAddress = followed;
    if (source === this.source) return;
    this.source = source;
    this.log.writeInfo('The source of the store view changed.', {source});
    this.sourceSinceMs = this.system.getNow().monotonicMs;
    if (source !== 'store') return;
    this.system.startTimer(READER_SETTLE_MS, () => {
      if (!this.isStopped && this.isStoreReader()) this.onReader();
    });
  }

  private waitForRetry(failures: number): Promise<void> {
    return new Promise(resolve => {
      const cancel = this.system.startTimer(
        this.getRetryDelayMs(failures),
        resolve,
      );
      this.endWait = () => {
        cancel();
        resolve();
      };
    });
  }

  private getRetryDelayMs(failures: number): number {
    const limit = Math.min(
      MAX_RETRY_DELAY_MS,
      RETRY_DELAY_MS * 2 ** Math.min(failures, 10),
    );
    return limit * (0.5 + this.system.getRandom() / 2);
  }
}
