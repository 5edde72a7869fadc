/**
 * Absences and returns of a fleet's store, beside another writer that raises its revision all the time, as
 * otherwise what is written again makes up for the few revisions that are lost.
 */
import type {FakeStore} from './fake_store.js';

const WRITE_INTERVAL_MS = 25;
const WRITTEN_OBJECTS = 20;

/** Lets a store go away and return. */
export class StoreDrill {
  private timer: NodeJS.Timeout | undefined;
  private written = 0;

  constructor(private readonly store: FakeStore) {}

  /** Writes objects of another system until the store goes away or the drill stops. */
  startWriter(): void {
    clearInterval(this.timer);
    this.timer = setInterval(() => {
      this.written += 1;
      const name = `n${this.written % WRITTEN_OBJECTS}`;
      this.store.put('notes', name, {written: this.written});
    }, WRITE_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /**
   * Lets the store be away for a time and return; from an older copy if its age is given. Returns the time after
   * which writes are lost. The other writer stays away, so that lost revisions are not soon given out again.
   */
  async restartStore(awayMs: number, copyAgeMs?: number): Promise<number> {
    this.stop();
    await this.store.stopServing();
    const leftAtMs = performance.now();
    await waitFor(awayMs);
    if (copyAgeMs !== undefined) this.store.replaceByCopy(copyAgeMs);
    await this.store.startServing();
    return leftAtMs - (copyAgeMs ?? 0);
  }
}

/** Waits for a time. */
export function waitFor(delayMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, delayMs));
}
