/**
 * Counts the results of routed requests and the offers made for them, and logs the counts periodically, together
 * with the store calls since the start. The logs of single requests are rate-limited and incomplete under load;
 * these counts cover all requests.
 */
import type {Log} from '@dottereldrift/core/log.js';
import type {System} from '@dottereldrift/core/system.js';

import type {ControlCounters} from './control_counters.js';
import type {AttemptResult, Exchange} from './exchange.js';

const INTERVAL_MS = 5_000;
/** Maximum number of rows, one per kind and result; further ones are counted together. */
const MAX_ROWS = 64;
const OTHER = 'other';

/** Number of times that an entry offered one request to a host. */
export interface OfferCounts {
  /** Offers to any host, including this one. */
  offers: number;
  /** Offers to other daemons. */
  hops: number;
}

type StoreCallCounts = Pick<
  ControlCounters,
  'storeCallsByPurpose' | 'storeSerializableCalls'
>;

interface Row {
  count: number;
  offers: number;
  hops: number;
  tookMs: number;
}

/** Counts finished requests until it is stopped. */
export class RequestTally {
  private readonly rows = new Map<string, Row>();
  private cancel: () => void = () => {};

  constructor(
    private readonly system: System,
    private readonly log: Log,
    private readonly counters: StoreCallCounts,
  ) {}

  start(): void {
    this.cancel = this.system.startTimer(INTERVAL_MS, () => {
      this.writeRows();
      this.start();
    });
  }

  /** Logs the counts since the last line and stops. */
  stop(): void {
    this.cancel();
    this.writeRows();
  }

  /** Counts a finished request. */
  observe(exchange: Exchange, result: AttemptResult, counts: OfferCounts) {
    if (exchange.routed === undefined) return;
    const nowMs = this.system.getNow().monotonicMs;
    const tookMs = nowMs - exchange.receivedAt.monotonicMs;
    const isWithinGoal = tookMs <= exchange.routed.goalMs;
    const row = this.getRow(
      `${exchange.kind.name} ${formatResult(result, isWithinGoal)}`,
    );
    row.count += 1;
    row.offers += counts.offers;
    row.hops += counts.hops;
    row.tookMs += tookMs;
  }

  /** Counts a request that was refused before it was read. */
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
    this.log.writeInfo('Counts of finished requests.', {
      columns: 'kind end requests offers hops tookMs',
      rows: rows.join('; '),
      storeCalls: formatStoreCalls(this.counters),
    });
  }
}

function formatResult(result: AttemptResult, isWithinGoal: boolean): string {
  if (result.kind === 'failed') return result.failure.code;
  const status = result.isTruncated
    ? 'cut'
    : `${Math.floor(result.status / 100)}xx`;
  return isWithinGoal ? status : `${status}-late`;
}

function formatStoreCalls({
  storeCallsByPurpose,
  storeSerializableCalls,
}: StoreCallCounts): string {
  const rows = {...storeCallsByPurpose, serializable: storeSerializableCalls};
  return Object.entries(rows)
    .map(([purpose, count]) => `${purpose} ${count}`)
    .join('; ');
}
