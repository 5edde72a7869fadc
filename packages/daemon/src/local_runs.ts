/**
 * The names of the requests that the backend server of this host runs at present. A request that names one of
 * them as its parent was sent by that run, which holds its slot until the answer comes.
 */

/** Counts runs by the name of their request. */
export class LocalRuns {
  private readonly counts = new Map<string, number>();

  /** Takes note of a run; the returned function ends it, once. */
  startRun(requestId: string): () => void {
    this.counts.set(requestId, this.countRuns(requestId) + 1);
    let hasEnded = false;
    return () => {
      if (hasEnded) return;
      hasEnded = true;
      const left = this.countRuns(requestId) - 1;
      if (left > 0) this.counts.set(requestId, left);
      else this.counts.delete(requestId);
    };
  }

  /** Tells whether a request runs. */
  isRunning(requestId: string): boolean {
    return this.counts.has(requestId);
  }

  private countRuns(requestId: string): number {
    return this.counts.get(requestId) ?? 0;
  }
}
