/**
 * Records which fake server held which keys under which tokens, and when it began requests on them, for some keys
 * of the whole range. Lists what breaks exclusive ownership.
 */
const KEY_COUNT = 65_536;
const SAMPLED_COUNT = 128;
const SAMPLE_STEP = KEY_COUNT / SAMPLED_COUNT;
/** Time for which two servers may hold a key on which they begin no requests. */
const MAX_OVERLAP_MS = 500;
const MAX_LISTED = 12;

/** The keys that are recorded. */
export const SAMPLED_KEYS: readonly number[] = Array.from(
  {length: SAMPLED_COUNT},
  (_, index) => index * SAMPLE_STEP + SAMPLE_STEP / 2,
);

/** Time in which a server held a key under one token without a pause. */
interface Holding {
  readonly server: string;
  readonly token: number;
  readonly fromMs: number;
  endMs: number;
  /** When the server began requests on the key. */
  readonly runs: number[];
}

/** What all servers held. */
export class KeyRecords {
  private readonly holdings = new Map<number, readonly Holding[]>();

  /** Records that a server was granted a key until a time. */
  recordGrant(
    key: number,
    server: string,
    token: number,
    nowMs: number,
    endMs: number,
  ): void {
    const last = this.findLast(key, server);
    const isHeld = last !== undefined && last.endMs >= nowMs;
    if (isHeld && last.token === token) {
      last.endMs = endMs;
      return;
    }
    if (isHeld) last.endMs = nowMs;
    const holding = {server, token, fromMs: nowMs, endMs, runs: []};
    this.holdings.set(key, [...this.get(key), holding]);
  }

  /** Records that a server no longer holds a key. */
  recordRelease(key: number, server: string, nowMs: number): void {
    const last = this.findLast(key, server);
    if (last !== undefined) last.endMs = Math.min(last.endMs, nowMs);
  }

  recordRun(key: number, server: string, nowMs: number): void {
    this.findLast(key, server)?.runs.push(nowMs);
  }

  /** Tells whether every key is held. */
  isComplete(nowMs: number): boolean {
    return SAMPLED_KEYS.every(key =>
      this.get(key).some(({endMs}) => endMs > nowMs),
    );
  }

  /** Counts the keys of each server. */
  formatHolders(nowMs: number): string {
    const counts = new Map<string, number>();
    for (const server of this.listHolders(nowMs))
      counts.set(server, (counts.get(server) ?? 0) + 1);
    return [...counts].map(([server, count]) => `${server} ${count}`).join(' ');
  }

  /** Lists the server of each key; 'none' where there is none. */
  listHolders(nowMs: number): readonly string[] {
    return SAMPLED_KEYS.map(
      key => this.get(key).find(({endMs}) => endMs > nowMs)?.server ?? 'none',
    );
  }

  /** Counts the holdings that began in a time and whose key another server or token had before. */
  countMoves(fromMs: number, untilMs: number): number {
    return SAMPLED_KEYS.flatMap(key => this.get(key).slice(1)).filter(
      holding => holding.fromMs >= fromMs && holding.fromMs < untilMs,
    ).length;
  }

  /** Returns the longest time in which a key had no server, within a span. */
  computeLongestGapMs(fromMs: number, untilMs: number): number {
    return Math.max(
      ...SAMPLED_KEYS.map(key => {
        let coveredMs = fromMs;
        let longestMs = 0;
        for (const {fromMs: startMs, endMs} of this.get(key)) {
          longestMs = Math.max(
            longestMs,
            Math.min(startMs, untilMs) - coveredMs,
          );
          coveredMs = Math.max(coveredMs, endMs);
        }
        return Math.max(longestMs, untilMs - coveredMs);
      }),
    );
  }

  /** Lists keys that two servers held, and tokens that were not above those of other servers. */
  listFaults(): readonly string[] {
    const faults = SAMPLED_KEYS.flatMap(key => [
      ...this.listOverlaps(key),
      ...this.listLowTokens(key),
    ]);
    const rest = faults.length - MAX_LISTED;
    return rest > 0
      ? [...faults.slice(0, MAX_LISTED), `and ${rest} more`]
      : faults;
  }

  private listOverlaps(key: number): readonly string[] {
    const holdings = this.get(key);
    return holdings.flatMap((later, index) =>
      holdings.slice(0, index).flatMap(earlier => {
        if (earlier.server === later.server) return [];
        const fromMs = Math.max(earlier.fromMs, later.fromMs);
        const endMs = Math.min(earlier.endMs, later.endMs);
        if (endMs <= fromMs) return [];
        const isRunning = [earlier, later].every(({runs}) =>
          runs.some(atMs => atMs >= fromMs && atMs < endMs),
        );
        if (!isRunning && endMs - fromMs <= MAX_OVERLAP_MS) return [];
        const how = isRunning ? 'and both began requests ' : '';
        return [
          `key ${key} held by ${earlier.server} (${earlier.token}) and ${later.server} (${later.token}) ${how}for ${Math.round(endMs - fromMs)} ms`,
        ];
      }),
    );
  }

  private listLowTokens(key: number): readonly string[] {
    const holdings = this.get(key);
    return holdings.flatMap((later, index) =>
      holdings
        .slice(0, index)
        .filter(
          earlier =>
            earlier.server !== later.server && earlier.token >= later.token,
        )
        .slice(0, 1)
        .map(
          earlier =>
            `key ${key} given to ${later.server} under ${later.token}, ${earlier.server} had it under ${earlier.token}`,
        ),
    );
  }

  private findLast(key: number, server: string): Holding | undefined {
    return this.get(key).findLast(holding => holding.server === server);
  }

  private get(key: number): readonly Holding[] {
    return this.holdings.get(key) ?? [];
  }
}
