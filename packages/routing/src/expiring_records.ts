/**
 * Records by name that are deleted once they have not been used for a while, so that names which no longer occur,
 * such as those of removed routes, take no memory.
 */
import type {System} from '@dottereldrift/core/system.js';

/** Time without use after which a record is deleted. */
const IDLE_EXPIRY_MS = 10_000;
const SWEEP_INTERVAL_MS = 10_000;

interface KeptRecord<T> {
  readonly record: T;
  usedAtMs: number;
}

/** Records that expire. */
export class ExpiringRecords<T> {
  private readonly kept = new Map<string, KeptRecord<T>>();
  private sweptAtMs = 0;

  constructor(
    private readonly system: System,
    private readonly createRecord: (nowMs: number) => T,
  ) {}

  /** Returns the record of a name, which is created if there is none. */
  getRecord(name: string): T {
    const nowMs = this.system.getNow().monotonicMs;
    this.dropIdle(nowMs);
    const existing = this.kept.get(name);
    if (existing !== undefined) {
      existing.usedAtMs = nowMs;
      return existing.record;
    }
    const record = this.createRecord(nowMs);
    this.kept.set(name, {record, usedAtMs: nowMs});
    return record;
  }

  /** Returns the number of records. */
  getSize(): number {
    return this.kept.size;
  }

  private dropIdle(nowMs: number): void {
    if (nowMs - this.sweptAtMs < SWEEP_INTERVAL_MS) return;
    this.sweptAtMs = nowMs;
    for (const [name, {usedAtMs}] of this.kept)
      if (nowMs - usedAtMs >= IDLE_EXPIRY_MS) this.kept.delete(name);
  }
}
