/**
 * Notes when hosts are away: killed, frozen or cut off.
 */
import type {Absence} from '@dottereldrift/bench/violations.js';

/** What took a host away. */
export type AbsenceCause = 'kill' | 'freeze' | 'cut';

/** The absences of a run. */
export class AbsenceLog {
  private readonly absences: Absence[] = [];
  private readonly awaySince = new Map<string, Map<AbsenceCause, number>>();

  constructor(private readonly getNowMs: () => number) {}

  start(host: string, cause: AbsenceCause): void {
    const causes = this.awaySince.get(host) ?? new Map<AbsenceCause, number>();
    if (!causes.has(cause)) causes.set(cause, this.getNowMs());
    this.awaySince.set(host, causes);
  }

  end(host: string, cause: AbsenceCause): void {
    const causes = this.awaySince.get(host);
    const fromMs = causes?.get(cause);
    if (causes === undefined || fromMs === undefined) return;
    causes.delete(cause);
    if (causes.size === 0) this.awaySince.delete(host);
    this.absences.push({host, fromMs, untilMs: this.getNowMs()});
  }

  /** Tells whether a host is away, for one cause or for any. */
  isAway(host: string, cause?: AbsenceCause): boolean {
    const causes = this.awaySince.get(host);
    if (causes === undefined) return false;
    return cause === undefined || causes.has(cause);
  }

  /** Ends what lasts still, and returns every absence. */
  takeAll(): readonly Absence[] {
    for (const [host, causes] of [...this.awaySince])
      for (const cause of [...causes.keys()]) this.end(host, cause);
    return this.absences;
  }
}
