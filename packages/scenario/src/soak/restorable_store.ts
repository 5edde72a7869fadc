/**
 * The store of a soak run that returns to copies of its earlier states, and the operator who changes the configuration
 * and writes what the store has lost again. Checks that no process goes back to an earlier configuration.
 */
import type {AcceptedManifest} from '@dottereldrift/manifest/types.js';
import {ACCEPTED_MANIFEST_KEY} from '@dottereldrift/daemon/store_view.js';
import type {StoreCopy} from '@dottereldrift/store/memory_store.js';
import * as E from 'fp-ts/lib/Either.js';

import type {VirtualClock} from '../virtual_clock.js';
import type {VirtualDaemon} from '../virtual_daemon.js';
import type {SharedStore} from '../virtual_store.js';
import {UNKEYED_SERVICE, SOAK_SERVICE} from './soak_host.js';
import {UNKEYED_RULES, SOAK_RULES} from './soak_traffic.js';

const MIN_COPY_AGE_MS = 100;
const MAX_COPY_AGE_MS = 10_000;
const COPY_INTERVAL_MS = 100;
const CHANGE_INTERVAL_MS = 700;
const MAX_REWRITE_DELAY_MS = 1_000;

interface TimedCopy {
  readonly atMs: number;
  readonly copy: StoreCopy;
}

/** Keeps the copies that the store can return to, and the configuration of the operator. */
export class RestorableStore {
  /** Configurations that a process put into effect after a later one. */
  readonly violations: string[] = [];
  private readonly copies: TimedCopy[] = [];
  private generation = 0;

  constructor(
    private readonly clock: VirtualClock,
    private readonly store: SharedStore,
    /** Whether each return starts a new era; false disables the rule that versions carry the era. */
    private readonly hasEras: boolean,
  ) {}

  /** Takes copies and changes the configuration at intervals until the given time. */
  start(endMs: number): void {
    this.startInterval(COPY_INTERVAL_MS, endMs, () => {
      const atMs = this.clock.getElapsedMs();
      this.copies.push({atMs, copy: this.store.memory.createCopy()});
    });
    this.startInterval(CHANGE_INTERVAL_MS, endMs, () => {
      void this.writeNextConfiguration();
    });
  }

  /** Writes a configuration with the next generation unless the store is out. */
  async writeNextConfiguration(): Promise<void> {
    if (this.store.state.isOut) return;
    this.generation += 1;
    await this.writeConfiguration();
  }

  /** Returns the latest copy that is at least as old as specified, or else the oldest one. */
  findCopy(ageMs = this.drawCopyAge()): TimedCopy | undefined {
    const latestMs = this.clock.getElapsedMs() - ageMs;
    const old = this.copies.filter(({atMs}) => atMs <= latestMs);
    return old[old.length - 1] ?? this.copies[0];
  }

  /** Returns the store to a copy; the operator notices some time later. */
  restore(copy: StoreCopy): void {
    if (this.hasEras) this.store.memory.restore(copy);
    else this.store.memory.restore(copy, 0);
    const delayMs = MAX_REWRITE_DELAY_MS * this.clock.getRandom();
    this.clock.startTimer(delayMs, () => {
      void this.writeConfiguration();
    });
  }

  /** Checks each configuration that a daemon puts into effect. */
  watchConfiguration(daemon: VirtualDaemon): void {
    const view = daemon.getView();
    let highest = 0;
    view.addListener(() => {
      const generation = view.getManifest()?.generation ?? 0;
      if (generation < highest)
        this.violations.push(
          `${daemon.endpoint.name} went back from configuration ${highest} to ${generation}`,
        );
      highest = Math.max(highest, generation);
    });
  }

  /** Returns the generation that a daemon lacks of the operator's last configuration, for the end of a run. */
  listMissing(daemons: readonly VirtualDaemon[]): readonly string[] {
    return daemons
      .map(daemon => ({
        name: daemon.endpoint.name,
        found: daemon.getView().getManifest()?.generation,
      }))
      .filter(({found}) => found !== this.generation)
      .map(
        ({name, found}) =>
          `${name} has configuration ${found} in effect in place of ${this.generation}`,
      );
  }

  private drawCopyAge(): number {
    const spreadMs = MAX_COPY_AGE_MS - MIN_COPY_AGE_MS;
    return MIN_COPY_AGE_MS + spreadMs * this.clock.getRandom();
  }

  private async writeConfiguration(): Promise<void> {
    const {generation} = this;
    // Differs in each generation, and in a value that affects no request.
    const maxQueued = SOAK_RULES.maxQueued + (generation % 2);
    const manifest = {
      services: {
        [SOAK_SERVICE]: {...SOAK_RULES, maxQueued},
        [UNKEYED_SERVICE]: UNKEYED_RULES,
      },
    };
    const accepted: AcceptedManifest = {
      generation,
      sourceVersion: generation,
      manifest,
    };
    const value = Buffer.from(JSON.stringify(accepted));
    const read = await this.store.memory.getObject(ACCEPTED_MANIFEST_KEY)();
    const version = E.isRight(read) ? (read.right?.version ?? 0) : 0;
    await this.store.memory.updateObject(
      ACCEPTED_MANIFEST_KEY,
      version,
      value,
    )();
  }

  private startInterval(
    intervalMs: number,
    endMs: number,
    run: () => void,
  ): void {
    const runNext = () => {
      if (this.clock.getElapsedMs() >= endMs) return;
      run();
      this.clock.startTimer(intervalMs, runNext);
    };
    runNext();
  }
}
