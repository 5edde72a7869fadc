/**
 * Follows the operator's configuration in the store. Every daemon does so directly, so that a relay that
 * is cut off from the store does not delay the configuration for its followers. A watch may stall without
 * an error, so a daemon that learns of a newer configuration from another daemon reads it from the store.
 */
import * as E from 'fp-ts/lib/Either.js';
import type {TaskEither} from 'fp-ts/lib/TaskEither.js';

import type {Log} from '@dottereldrift/core/log.js';
import {type System, waitFor} from '@dottereldrift/core/system.js';
import type {StoredObject, StoreFailure} from '@dottereldrift/store/types.js';

import type {StoreView} from './store_view.js';

/** Result of reading or watching the configuration. */
export interface ConfigurationAnswer {
  /** Store revision up to which the result is complete. */
  readonly revision: number;
  /** The accepted manifest; undefined if there is no new one or it cannot be translated. */
  readonly accepted: StoredObject | undefined;
}

/** Source of the configuration. */
export interface ConfigurationSource {
  readConfiguration(): TaskEither<StoreFailure, ConfigurationAnswer>;
  /** Waits up to `waitMs` for a configuration newer than a revision. */
  watchConfiguration(
    afterRevision: number,
    waitMs: number,
  ): TaskEither<StoreFailure, ConfigurationAnswer>;
}

/**
 * Maximum duration of one watch. Each watch is a billed call, and a stalled connection is detected only at
 * its end. Half of the duration is random, so that the watches of different daemons do not end together
 * and some daemon detects a stall early.
 */
const WATCH_WAIT_MS = 8_000;
const FIRST_RETRY_DELAY_MS = 100;
/** Maximum delay between reads while the store is down; its return is detected within this time plus a call. */
const MAX_RETRY_DELAY_MS = 500;
/** Time that this daemon's own watch gets to report a configuration that another daemon already has. */
const ANNOUNCED_READ_DELAY_MS = 200;

/** Applies new configurations to the view. */
export class ConfigurationFollower {
  private revision: number | undefined;
  /** Whether the last call failed. A watch might then wait on a dead connection, so the next call is a read. */
  private hasLastCallFailed = false;
  /** Newest generation announced by another daemon for which a read is scheduled; 0 after a failed read. */
  private announcedGeneration = 0;
  private isStopped = false;

  constructor(
    private readonly system: System,
    private readonly source: ConfigurationSource,
    private readonly view: Pick<StoreView, 'applyObject' | 'getManifest'>,
    private readonly log: Log,
  ) {}

  /** Follows the configuration until stopped. */
  async run(): Promise<void> {
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
  }

  /** Handles the generation that another daemon has in effect; reads it unless the watch delivers it soon. */
  receiveGeneration(generation: number): void {
    if (generation <= this.announcedGeneration || !this.isOlderThan(generation))
      return;
    this.announcedGeneration = generation;
    this.system.startTimer(ANNOUNCED_READ_DELAY_MS, () => {
      if (!this.isStopped) void this.readAnnounced(generation);
    });
  }

  private async readAnnounced(generation: number): Promise<void> {
    if (!this.isOlderThan(generation)) return;
    this.log.writeInfo('Another daemon has a newer configuration.', {
      generation,
      present: this.getGeneration(),
    });
    const answer = await this.source.readConfiguration()();
    if (E.isRight(answer)) {
      const {accepted} = answer.right;
      if (accepted !== undefined) this.applyAccepted(accepted);
      return;
    }
    this.log.writeInfo('Failed to read a newer configuration.', {
      generation,
      reason: answer.left.text,
    });
    // The next heartbeat with this generation triggers another read.
    this.announcedGeneration = 0;
  }

  private isOlderThan(generation: number): boolean {
    return this.getGeneration() < generation;
  }

  private getGeneration(): number {
    return this.view.getManifest()?.generation ?? 0;
  }

  private async tryFollow(): Promise<boolean> {
    const {revision: knownRevision} = this;
    const randomizedMs = WATCH_WAIT_MS * (0.5 + this.system.getRandom() / 2);
    const waitMs = Math.round(randomizedMs);
    const answer =
      knownRevision === undefined || this.hasLastCallFailed
        ? await this.source.readConfiguration()()
        : await this.source.watchConfiguration(knownRevision, waitMs)();
    this.hasLastCallFailed = E.isLeft(answer);
    if (E.isLeft(answer)) {
      this.log.writeDebug('Failed to read the configuration.', {
        reason: answer.left.text,
      });
      return false;
    }
    const {revision, accepted} = answer.right;
    this.revision = revision;
    if (accepted !== undefined) this.applyAccepted(accepted);
    return true;
  }

  private applyAccepted(accepted: StoredObject): void {
    const before = this.getGeneration();
    this.view.applyObject(accepted);
    const generation = this.getGeneration();
    if (generation === before) return;
    this.log.writeInfo('A new configuration is in effect.', {
      generation,
      version: accepted.version,
      before,
    });
  }

  private getRetryDelayMs(failures: number): number {
    const limit = Math.min(
      MAX_RETRY_DELAY_MS,
      FIRST_RETRY_DELAY_MS * 2 ** Math.min(failures, 10),
    );
    return limit * (0.5 + this.system.getRandom() / 2);
  }
}
