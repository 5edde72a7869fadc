/**
 * The bounded window of idempotency keys that an owner keeps. An entry is never evicted before its
 * retention has expired; a full window refuses new keys instead.
 */

/** Answer that is kept and sent again when the request is repeated. */
export interface KeptAnswer {
  readonly status: number;
  /** Header names and values, alternating. */
  readonly headerPairs: readonly string[];
  /** Undefined when the body was too large to keep. */
  readonly body: Uint8Array | undefined;
}

/** State of one key. `unknown`: the request may have run, and its outcome will not become known. */
export type EntryState =
  | {readonly kind: 'running'}
  | {readonly kind: 'unknown'}
  | {readonly kind: 'finished'; readonly answer: KeptAnswer};

/** What identifies repeats of a request. */
export interface RequestIdentity {
  readonly idempotencyKey: string;
  /** Equal for requests that differ at most in their time of sending. */
  readonly fingerprint: string;
}

/** Entry of one idempotency key. */
export interface WindowEntry extends RequestIdentity {
  /** Position of the request's slice key on the ring. */
  readonly position: number;
  readonly state: EntryState;
  /** Monotonic time at which the entry was created. */
  readonly createdAtMs: number;
}

/** How to proceed with a request. */
export type WindowDecision =
  | {readonly kind: 'run'}
  | {readonly kind: 'full'}
  | {readonly kind: 'mismatch'}
  | {readonly kind: 'known'; readonly state: EntryState};

/** Limits of a window. */
export interface WindowLimits {
  readonly maxEntries: number;
  readonly maxBytes: number;
  readonly retentionMs: number;
}

const ENTRY_OVERHEAD_BYTES = 200;

/** Window of idempotency keys of one service. */
export class IdempotencyWindow {
  /** In the order of creation, oldest first. */
  private readonly entries = new Map<string, WindowEntry>();
  private bytes = 0;

  constructor(private readonly limits: WindowLimits) {}

  /** Looks up a key and, if it is new and the window has room, adds it as running. */
  startRequest(
    name: RequestIdentity,
    position: number,
    nowMs: number,
  ): WindowDecision {
    this.dropExpired(nowMs);
    const {idempotencyKey, fingerprint} = name;
    const existing = this.entries.get(idempotencyKey);
    if (existing !== undefined) {
      return existing.fingerprint === fingerprint
        ? {kind: 'known', state: existing.state}
        : {kind: 'mismatch'};
    }
    const state = {kind: 'running'} as const;
    const entry = {
      idempotencyKey,
      fingerprint,
      position,
      state,
      createdAtMs: nowMs,
    };
    const isFull =
      this.entries.size >= this.limits.maxEntries ||
      this.bytes + getEntryBytes(entry) > this.limits.maxBytes;
    if (isFull) return {kind: 'full'};
    this.putEntry(entry);
    return {kind: 'run'};
  }

  /** Records how a request ended. Of an answer that does not fit, only the status is kept. */
  finishRequest(idempotencyKey: string, state: EntryState): void {
    const existing = this.entries.get(idempotencyKey);
    if (existing === undefined) return;
    const entry = {...existing, state};
    const growth = getEntryBytes(entry) - getEntryBytes(existing);
    const hasRoom = this.bytes + growth <= this.limits.maxBytes;
    this.putEntry(hasRoom ? entry : dropBody(entry));
  }

  /** Removes the entry of a request that certainly did not run. */
  cancelRequest(idempotencyKey: string): void {
    this.removeEntry(idempotencyKey);
  }

  /** Returns the entries whose positions match a predicate. */
  findEntries(isMatch: (position: number) => boolean): readonly WindowEntry[] {
    return [...this.entries.values()].filter(entry => isMatch(entry.position));
  }

  /** Adds the entries of another owner that are missing here, or none and returns false if they do not fit. */
  tryMergeEntries(entries: readonly WindowEntry[], nowMs: number): boolean {
    this.dropExpired(nowMs);
    const missing = entries.filter(
      entry => !this.entries.has(entry.idempotencyKey),
    );
    const bytes = missing.reduce((sum, entry) => sum + getEntryBytes(entry), 0);
    if (this.entries.size + missing.length > this.limits.maxEntries)
      return false;
    if (this.bytes + bytes > this.limits.maxBytes) return false;
    for (const entry of missing) this.putEntry(entry);
    return true;
  }

  /** Removes the entries whose positions match a predicate. */
  removeEntries(isMatch: (position: number) => boolean): void {
    for (const entry of this.findEntries(isMatch))
      this.removeEntry(entry.idempotencyKey);
  }

  /** Returns the number of entries. */
  getSize(): number {
    return this.entries.size;
  }

  private putEntry(entry: WindowEntry): void {
    this.bytes -= this.getBytesOf(entry.idempotencyKey);
    this.entries.set(entry.idempotencyKey, entry);
    this.bytes += getEntryBytes(entry);
  }

  private removeEntry(idempotencyKey: string): void {
    this.bytes -= this.getBytesOf(idempotencyKey);
    this.entries.delete(idempotencyKey);
  }

  private getBytesOf(idempotencyKey: string): number {
    const existing = this.entries.get(idempotencyKey);
    return existing === undefined ? 0 : getEntryBytes(existing);
  }

  private dropExpired(nowMs: number): void {
    for (const entry of this.entries.values()) {
      if (nowMs - entry.createdAtMs < this.limits.retentionMs) return;
      if (entry.state.kind !== 'running')
        this.removeEntry(entry.idempotencyKey);
    }
  }
}

function dropBody(entry: WindowEntry): WindowEntry {
  if (entry.state.kind !== 'finished') return entry;
  const answer = {
    status: entry.state.answer.status,
    headerPairs: [],
    body: undefined,
  };
  return {...entry, state: {kind: 'finished', answer}};
}

function getEntryBytes(entry: WindowEntry): number {
  const baseBytes = ENTRY_OVERHEAD_BYTES + entry.idempotencyKey.length;
  if (entry.state.kind !== 'finished') return baseBytes;
  const {answer} = entry.state;
  const headerBytes = answer.headerPairs.reduce(
    (sum, part) => sum + part.length,
    0,
  );
  return baseBytes + headerBytes + (answer.body?.byteLength ?? 0);
}
