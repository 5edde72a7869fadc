/**
 * Follows the operator's configuration in the store, in every daemon by itself: a relay that is cut off
 * from the store must not make the configuration late for those that follow it.
 */
import * as E from 'fp-ts/lib/Either.js';
import type {TaskEither} from 'fp-ts/lib/TaskEither.js';

import type {Log} from '@dottereldrift/core/log.js';
import {type System, waitFor} from '@dottereldrift/core/system.js';
import type {StoredObject, StoreFailure} from '@dottereldrift/store/types.js';

import type {StoreView} from './store_view.js';

/** What the store says of the configuration. */
export interface ConfigurationAnswer {
  /** Revision of the store up to which the answer is complete. */
  readonly revision: number;
  /** The accepted manifest; undefined when none is new, or none can be translated. */
  readonly accepted: StoredObject | undefined;
}

/** Where the configuration is read. */
export interface ConfigurationSource {
  readConfiguration(): TaskEither<StoreFailure, ConfigurationAnswer>;
  /** Waits up to `waitMs` for a configuration that is newer than a revision. */
  watchConfiguration(
    afterRevision: number,
    waitMs: number,
  ): TaskEither<StoreFailure, ConfigurationAnswer>;
}

/**
 * Time that one watch waits, in milliseconds. Each watch is a call that is paid for; a connection that
 * went silent is noticed at its end.
 */
const WATCH_WAIT_MS = 8_000;
const FIRST_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 1_000;

/** Follows the configuration. */
export class ConfigurationFollower {
  private revision: number | undefined;
  private isStopped = false;

  constructor(
    private readonly system: System,
    private readonly source: ConfigurationSource,
    private readonly view: Pick<StoreView, 'applyObject' | 'getManifest'>,
    private readonly log: Log,
  ) {}

  /** Follows until it is stopped. */
  async run(): Promise<void> {
    let failures = 0;
    while (!this.isStopped) {
      const isDone = await this.tryFollow();
      failures = isDone ? 0 : failures + 1;
      if (!isDone) await waitFor(this.system, this.drawDelayMs(failures));
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  private async tryFollow(): Promise<boolean> {
    const answer =
      this.revision === undefined
        ? await this.source.readConfiguration()()
        : await this.source.watchConfiguration(this.revision, WATCH_WAIT_MS)();
    if (E.isLeft(answer)) {
      this.log.writeDebug('The configuration was not read.', {
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
    const before = this.view.getManifest()?.generation ?? 0;
    this.view.applyObject(accepted);
    const generation = this.view.getManifest()?.generation ?? 0;
    if (generation === before) return;
    this.log.writeInfo('A configuration is in force.', {
      generation,
      version: accepted.version,
      before,
    });
  }

  private drawDelayMs(failures: number): number {
    const limit = Math.min(
      MAX_RETRY_DELAY_MS,
      FIRST_RETRY_DELAY_MS * 2 ** Math.min(failures, 10),
    );
    return limit * (0.5 + this.system.getRandom() / 2);
  }
}
