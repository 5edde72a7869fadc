/**
 * Records the periods in which hosts are absent because they were killed, frozen or cut off.
 */
import type {Absence} from '@dottereldrift/bench/violations.js';

/** Why a host is absent. */
export type AbsenceCause = 'kill' | 'freeze' | 'cut';

/** Collects the absences of a run. A host may be absent for several causes at once. */
export class AbsenceLog {
  private readonly absences: Absence[] = [];
  private readonly absentSince = new Map<string, Map<AbsenceCause, number>>();

  constructor(private readonly getNowMs: () => number) {}

  start(host: string, cause: AbsenceCause): void {
    const causes =
      this.absentSince.get(host) ?? new Map<AbsenceCause, number>();
    if (!causes.has(cause)) causes.set(cause, this.getNowMs());
    this.absentSince.set(host, causes);
  }

  end(host: string, cause: AbsenceCause): void {
    const causes = this.absentSince.get(host);
    const fromMs = causes?.get(cause);
    if (causes === undefined || fromMs === undefined) return;
    causes.delete(cause);
    if (causes.size === 0) this.absentSince.delete(host);
    this.absences.push({host, fromMs, untilMs: this.getNowMs()});
  }

  /** Tells whether a host is absent for the given cause, or for any cause if none is given. */
  isAbsent(host: string, cause?: AbsenceCause): boolean {
    const causes = this.absentSince.get(host);
    if (causes === undefined) return false;
    return cause === undefined || causes.has(cause);
  }

  /** Ends all absences that are still open and returns every absence of the run. */
  endAll(): readonly Absence[] {
    for (const [host, causes] of [...this.absentSince])
      for (const cause of [...causes.keys()]) this.end(host, cause);
    return this.absences;
  }
}
