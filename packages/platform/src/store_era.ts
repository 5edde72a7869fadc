/**
 * The era of the platform's store, which its responses carry. It rises by one each time the store was restored from a
 * backup and has lost writes that it had acknowledged.
 *
 * A response of an earlier era than one that was already seen was delayed, and the state that it describes is gone. A
 * response without a readable era tells nothing and counts as one of the highest era seen.
 */
import type {Log} from '@dottereldrift/core/log.js';
import {MAX_ERA} from '@dottereldrift/store/version.js';

/** Header of the store's responses that carries the era. */
export const ERA_HEADER = 'store-era';
/** Time for which copies may be behind: several times the delay that the platform states. */
const SETTLE_MS = 30_000;
const ERA_PATTERN = /^\d{1,6}$/;

/** Tracks the highest era that was seen. */
export class StoreEra {
  private highest: number | undefined;
  private settledAtMs = -Infinity;
  private hasLoggedInvalid = false;

  /** @param getNowMs Returns the monotonic time, in milliseconds. */
  constructor(
    private readonly log: Log,
    private readonly getNowMs = () => performance.now(),
  ) {}

  /** Returns whether copies of the store have had the time to follow the restoration that started the era. */
  isSettled(): boolean {
    return this.getNowMs() >= this.settledAtMs;
  }

  /** Returns the highest era seen; 0 before the first one. */
  get(): number {
    return this.highest ?? 0;
  }

  /** Records an era that another daemon has seen, as part of a version. */
  recordEra(era: number): void {
    if (era <= this.get()) return;
    this.setHighest(era);
  }

  /** Records the header of a response and returns the era of that response. */
  receive(header: string | readonly string[] | undefined): number {
    if (header === undefined) return this.get();
    const era = parseEra(header);
    if (era === undefined) {
      this.recordInvalid(String(header));
      return this.get();
    }
    if (this.highest === undefined || era > this.highest) this.setHighest(era);
    else if (era < this.highest) this.startSettling();
    return era;
  }

  private setHighest(era: number): void {
    const {highest: before} = this;
    this.highest = era;
    this.startSettling();
    if (before !== undefined)
      this.log.writeWarning('The store was restored from a backup.', {
        era,
        before,
      });
  }

  private startSettling(): void {
    this.settledAtMs = this.getNowMs() + SETTLE_MS;
  }

  private recordInvalid(header: string): void {
    if (this.hasLoggedInvalid) return;
    this.hasLoggedInvalid = true;
    this.log.writeError('Cannot read the era of the store.', {
      header: header.slice(0, 40),
      highestAllowed: MAX_ERA,
    });
  }
}

function parseEra(header: string | readonly string[]): number | undefined {
  if (typeof header !== 'string' || !ERA_PATTERN.test(header)) return undefined;
  const era = Number(header);
  return era <= MAX_ERA ? era : undefined;
}
