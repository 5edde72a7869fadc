/**
 * Counts how requests of callers ended and how many hosts each was offered to, and writes the counts at a steady
 * pace. Lines of single requests are bounded and show only a part of them under load; the counts show all.
 */
import type {Log} from '@dottereldrift/core/log.js';
import type {System} from '@dottereldrift/core/system.js';

import type {AttemptResult, Exchange} from './exchange.js';

const INTERVAL_MS = 5_000;
/** Kinds and ends that are told apart; what is beyond counts as one. */
const MAX_ROWS = 64;
const OTHER = 'other';

/** What an entry did for one request. */
export interface RequestTrail {
  /** Hosts that the request was offered to, this one included. */
  offers: number;
  /** Offers that went to another daemon. */
  hops: number;
}

interface Row {
  count: number;
  offers: number;
  hops: number;
  tookMs: number;
}

/** Adds up the ends of requests until it is stopped. */
export class RequestTally {
  private readonly rows = new Map<string, Row>();
  private cancel: () => void = () => {};

  constructor(
    private readonly system: System,
    private readonly log: Log,
  ) {}

  start(): void {
    this.cancel = this.system.startTimer(INTERVAL_MS, () => {
      this.writeRows();
      this.start();
    });
  }

  /** Writes what was counted since the last line, and counts no more. */
  stop(): void {
    this.cancel();
    this.writeRows();
  }

  /** Takes note of how a request ended. */
  observe(exchange: Exchange, result: AttemptResult, trail: RequestTrail) {
    if (exchange.routed === undefined) return;
    const nowMs = this.system.getNow().monotonicMs;
    const tookMs = nowMs - exchange.receivedAt.monotonicMs;
    const isInGoal = tookMs <= exchange.routed.goalMs;
    const row = this.getRow(
      `${exchange.kind.name} ${formatEnd(result, isInGoal)}`,
    );
    row.count += 1;
    row.offers += trail.offers;
    row.hops += trail.hops;
    row.tookMs += tookMs;
  }

  /** Takes note of a request that was refused before it was read. */
  observeUnread(code: string): void {
    this.getRow(`unread ${code}`).count += 1;
  }

  private getRow(name: string): Row {
    const key = this.rows.has(name) || this.rows.size < MAX_ROWS ? name : OTHER;
    const present = this.rows.get(key);
    if (present !== undefined) return present;
    const row = {count: 0, offers: 0, hops: 0, tookMs: 0};
    this.rows.set(key, row);
    return row;
  }

  private writeRows(): void {
    if (this.rows.size === 0) return;
    const rows = [...this.rows].map(
      ([name, {count, offers, hops, tookMs}]) =>
        `${name} ${count} ${offers} ${hops} ${Math.round(tookMs)}`,
    );
    this.rows.clear();
    this.log.writeInfo('Requests of callers have ended.', {
      columns: 'kind end requests offers hops tookMs',
      rows: rows.join('; '),
    });
  }
}

function formatEnd(result: AttemptResult, isInGoal: boolean): string {
  if (result.kind === 'failed') return result.failure.code;
  const status = result.isCut ? 'cut' : `${Math.floor(result.status / 100)}xx`;
  return isInGoal ? status : `${status}-late`;
}
