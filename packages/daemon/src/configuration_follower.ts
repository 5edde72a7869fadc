/**
 * Follows the operator's configuration. Daemons that read the store for others (see view_follower.ts) watch it
 * linearizably and pass it on with the view. All other daemons get it from them; their own watch is serializable
 * and only covers the loss of that path. A watch may stall without an error, so a daemon that learns of a newer
 * configuration from another daemon reads it from the store unless it arrives by itself, and asks that daemon for it
 * if the store does not have it.
 */
import * as E from 'fp-ts/lib/Either.js';
import type {TaskEither} from 'fp-ts/lib/TaskEither.js';

import type {Log} from '@dottereldrift/core/log.js';
import {type System, waitFor} from '@dottereldrift/core/system.js';
import type {Address} from '@dottereldrift/core/types.js';
import type {AcceptedManifest} from '@dottereldrift/manifest/types.js';
import {ConsistencyChoice} from '@dottereldrift/store/consistency_choice.js';
import type {
  ReadConsistency,
  StoredObject,
  StoreFailure,
  WatchOptions,
} from '@dottereldrift/store/types.js';
import {formatVersion} from '@dottereldrift/store/version.js';

import type {StoreView} from './store_view.js';

/** Result of reading or watching the configuration. */
export interface ConfigurationAnswer {
  /** Store revision up to which the result is complete. */
  readonly revision: number;
  /** The accepted manifest; undefined if there is no new one or it cannot be translated. */
  readonly accepted: StoredObject | undefined;
  /** Whether the store no longer had the history of a watch, so that the configuration was read again. */
  readonly isReset?: boolean;
}

/** Source of the configuration. */
export interface ConfigurationSource {
  readConfiguration(
    consistency?: ReadConsistency,
  ): TaskEither<StoreFailure, ConfigurationAnswer>;
  /** Waits up to `waitMs` for a configuration newer than a revision. */
  watchConfiguration(
    afterRevision: number,
    waitMs: number,
    options?: WatchOptions,
  ): TaskEither<StoreFailure, ConfigurationAnswer>;
}

/** How a daemon follows the configuration; depends on whether others get it from this daemon. */
interface FollowMode {
  readonly consistency: ReadConsistency;
  /**
   * Maximum duration of one watch. Each watch is a billed call, and a stalled connection is detected only at
   * its end. Half of the duration is random, so that the watches of different daemons do not end together
   * and some daemon detects a stall early.
   */
  readonly watchWaitMs: number;
  /** Maximum delay between reads while the store is down; its return is detected within this time plus a call. */
  readonly maxRetryDelayMs: number;
  /** Time that a configuration which another daemon already has gets to arrive before it is read. */
  readonly announcedReadDelayMs: number;
}

const READER_MODE: FollowMode = {
  consistency: 'linearizable',
  watchWaitMs: 8_000,
  maxRetryDelayMs: 500,
  announcedReadDelayMs: 200,
};
/** The delay of announced reads leaves the reader that this daemon follows time to read first. */
const FOLLOWER_MODE: FollowMode = {
  consistency: 'serializable',
  watchWaitMs: 30_000,
  maxRetryDelayMs: 4_000,
  announcedReadDelayMs: 600,
};
const FIRST_RETRY_DELAY_MS = 100;
/** Time that the view gets to load at the start. It may bring a configuration, which then need not be read. */
const VIEW_LOAD_WAIT_MS = 1_000;
const VIEW_LOAD_POLL_MS = 20;
/** Minimum time between two reads for the same announced configuration. */
const ANNOUNCED_RETRY_DELAY_MS = 1_000;

/** Applies new configurations to the view. */
export class ConfigurationFollower {
  private revision: number | undefined;
  /** Whether the last call failed. A watch might then wait on a dead connection, so the next call is a read. */
  private hasLastCallFailed = false;
  /** Newest generation announced by another daemon for which a read is scheduled or was just made. */
  private announcedGeneration = 0;
  private isStopped = false;
  private cancelWatch: () => void = () => {};
  private onStoreBack: () => void = () => {};
  private readonly consistency: ConsistencyChoice;
  /** Whether the last watch found that its history is gone. */
  private wasReset = false;

  /**
   * @param isStoreReader Tells whether this daemon reads the store itself, so that others may follow it.
   * @param askDaemon Updates the view from another daemon once; does not reject.
   */
  constructor(
    private readonly system: System,
    private readonly source: ConfigurationSource,
    private readonly view: Pick<
      StoreView,
      'applyObject' | 'getAcceptedVersion' | 'getManifest' | 'isLoaded'
    >,
    private readonly isStoreReader: () => boolean,
    private readonly askDaemon: (address: Address) => Promise<unknown>,
    private readonly log: Log,
  ) {
    this.consistency = new ConsistencyChoice(system);
  }

  /** Follows the configuration until stopped. */
  async run(): Promise<void> {
    if (!this.view.isLoaded()) await this.waitForView();
    let failures = 0;
    while (!this.isStopped) {
      const isSuccessful = await this.tryFollow();
      failures = isSuccessful ? 0 : failures + 1;
      if (!isSuccessful)
        await waitFor(this.system, this.getRetryDelayMs(failures));
    }
  }

  stop(): void {
    this.isStopped = true;
    this.cancelWatch();
  }

  /** Ends a serializable watch in progress, because this daemon has become a reader of the store. */
  startReading(): void {
    this.cancelWatch();
  }

  /** Sets the listener that is called when a call to the store succeeds after one that failed. */
  setStoreBackListener(listener: () => void): void {
    this.onStoreBack = listener;
  }

  /** Handles the generation that another daemon has in effect; reads it unless it arrives soon. */
  receiveGeneration(generation: number, from: Address): void {
    if (generation <= this.announcedGeneration || !this.isOlderThan(generation))
      return;
    this.announcedGeneration = generation;
    this.system.startTimer(this.getMode().announcedReadDelayMs, () => {
      if (!this.isStopped) void this.readAnnounced(generation, from);
    });
  }

  private async readAnnounced(
    generation: number,
    from: Address,
  ): Promise<void> {
    if (!this.isOlderThan(generation)) return;
    this.log.writeInfo('Another daemon has a newer configuration.', {
      generation,
      present: this.getGeneration(),
    });
    const answer = await this.source.readConfiguration()();
    if (E.isRight(answer)) {
      const {accepted} = answer.right;
      if (accepted !== undefined) this.applyAccepted(accepted);
    } else {
      this.log.writeInfo('Failed to read a newer configuration.', {
        generation,
        reason: answer.left.text,
      });
    }
    // A restored store may not have it until the operator writes it again.
    if (this.isOlderThan(generation)) await this.askDaemon(from);
    if (!this.isOlderThan(generation)) return;
    // After the delay, the next heartbeat with this generation triggers another read.
    this.system.startTimer(ANNOUNCED_RETRY_DELAY_MS, () => {
      if (this.announcedGeneration === generation) this.announcedGeneration = 0;
    });
  }

  private isOlderThan(generation: number): boolean {
    return this.getGeneration() < generation;
  }

  private getGeneration(): number {
    return this.view.getManifest()?.generation ?? 0;
  }

  private async waitForView(): Promise<void> {
    const endMs = this.system.getNow().monotonicMs + VIEW_LOAD_WAIT_MS;
    while (
      !this.isStopped &&
      !this.view.isLoaded() &&
      this.system.getNow().monotonicMs < endMs
    )
      await waitFor(this.system, VIEW_LOAD_POLL_MS);
  }

  private getMode(): FollowMode {
    return this.isStoreReader() ? READER_MODE : FOLLOWER_MODE;
  }

  /** A daemon without a configuration reads it like a reader, because it cannot serve before. */
  private getReadMode(): FollowMode {
    return this.getGeneration() === 0 ? READER_MODE : this.getMode();
  }

  private async tryFollow(): Promise<boolean> {
    const {revision: knownRevision} = this;
    const mustRead = knownRevision === undefined || this.hasLastCallFailed;
    const mode = mustRead ? this.getReadMode() : this.getMode();
    const consistency = this.consistency.choose(mode.consistency);
    const controller = new AbortController();
    if (!mustRead && mode === FOLLOWER_MODE)
      this.cancelWatch = () => controller.abort();
    const answer = mustRead
      ? await this.source.readConfiguration(consistency)()
      : await this.source.watchConfiguration(
          knownRevision,
          this.drawWatchWaitMs(mode),
          {consistency, signal: controller.signal},
        )();
    this.cancelWatch = () => {};
    if (controller.signal.aborted) return true;
    const isBack = this.hasLastCallFailed && E.isRight(answer);
    if (isBack) this.onStoreBack();
    this.hasLastCallFailed = E.isLeft(answer);
    if (E.isLeft(answer)) {
      this.log.writeDebug('Failed to read the configuration.', {
        reason: answer.left.text,
      });
      return false;
    }
    const {revision, accepted, isReset = false} = answer.right;
    const isResetAgain = isReset && this.wasReset;
    this.wasReset = isReset;
    if (isReset) this.consistency.recordReset();
    // A serializable answer may be older than one before.
    this.revision = Math.max(revision, knownRevision ?? 0);
    if (accepted !== undefined) this.applyAccepted(accepted);
    return !isResetAgain;
  }

  private applyAccepted(accepted: StoredObject): void {
    const before = this.getGeneration();
    this.view.applyObject(accepted);
    const generation = this.getGeneration();
    if (generation === before) {
      this.recordDropped(accepted);
      return;
    }
    this.log.writeInfo('A new configuration is in effect.', {
      generation,
      version: accepted.version,
      before,
    });
  }

  /** Logs a configuration that was read and differs from the one that stays in effect. */
  private recordDropped({version, value}: StoredObject): void {
    const generation = parseGeneration(value);
    const present = this.getGeneration();
    if (generation === present) return;
    this.log.writeInfo('A configuration was read and not put into effect.', {
      generation,
      version: formatVersion(version),
      present,
      presentVersion: formatVersion(this.view.getAcceptedVersion()),
    });
  }

  private drawWatchWaitMs({watchWaitMs}: FollowMode): number {
    return Math.round(watchWaitMs * (0.5 + this.system.getRandom() / 2));
  }

  private getRetryDelayMs(failures: number): number {
    const limit = Math.min(
      this.getReadMode().maxRetryDelayMs,
      FIRST_RETRY_DELAY_MS * 2 ** Math.min(failures, 10),
    );
    return limit * (0.5 + this.system.getRandom() / 2);
  }
}

function parseGeneration(value: Uint8Array): number {
  const text = Buffer.from(value).toString('utf8');
  return (JSON.parse(text) as AcceptedManifest).generation;
}
