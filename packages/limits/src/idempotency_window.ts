/**
 * The bounded window of idempotency keys that an owner keeps. An entry is never forgotten before its
 * retention has passed: a full window refuses new keys.
 */

/** Answer that is kept for repeats of a request. */
export interface KeptAnswer {
  readonly status: number;
  /** Names and values in turn. */
  readonly headerPairs: readonly string[];
  /** Undefined when the body was too large to keep. */
  readonly body: Uint8Array | undefined;
}

/** State of one key. `unknown`: it may have run, and nothing more will be learned. */
export type EntryState =
  | {readonly kind: 'running'}
  | {readonly kind: 'unknown'}
  | {readonly kind: 'finished'; readonly answer: KeptAnswer};

/** By what repeats of a request are known. */
export interface RequestName {
  readonly idempotencyKey: string;
  /** Equal for requests that are the same but for their time. */
  readonly fingerprint: string;
}

/** One key of the window. */
export interface WindowEntry extends RequestName {
  /** Position on the ring of the request's slice key. */
  readonly position: number;
  readonly state: EntryState;
  /** Monotonic time at which the entry was made. */
  readonly createdAtMs: number;
}

/** What to do with a request. */
export type WindowAnswer =
  | {readonly kind: 'run'}
  | {readonly kind: 'full'}
  | {readonly kind: 'mismatch'}
  | {readonly kind: 'known'; readonly state: EntryState};

/** Bounds of a window. */
export interface WindowLimits {
  readonly maxEntries: number;
  readonly maxBytes: number;
  readonly retentionMs: number;
}

const ENTRY_OVERHEAD_BYTES = 200;

/** Window of idempotency keys of one service. */
export class IdempotencyWindow {
  /** In the order of creation, so that the oldest come first. */
  private readonly entries = new Map<string, WindowEntry>();
  private bytes = 0;

  constructor(private readonly limits: WindowLimits) {}

  /** Looks a key up and, if it is new and there is room, notes it as running. */
  startRequest(
    name: RequestName,
    position: number,
    nowMs: number,
  ): WindowAnswer {
    this.dropExpired(nowMs);
    const {idempotencyKey, fingerprint} = name;
    const present = this.entries.get(idempotencyKey);
    if (present !== undefined) {
      return present.fingerprint === fingerprint
        ? {kind: 'known', state: present.state}
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

  /** Notes how a request ended. An answer for which there is no room is kept without its body. */
  finishRequest(idempotencyKey: string, state: EntryState): void {
    const present = this.entries.get(idempotencyKey);
    if (present === undefined) return;
    const entry = {...present, state};
    const growth = getEntryBytes(entry) - getEntryBytes(present);
    const hasRoom = this.bytes + growth <= this.limits.maxBytes;
    this.putEntry(hasRoom ? entry : dropBody(entry));
  }

  /** Forgets a request that was certainly not run. */
  cancelRequest(idempotencyKey: string): void {
    this.removeEntry(idempotencyKey);
  }

  /** Returns the entries whose positions pass the test. */
  findEntries(isWanted: (position: number) => boolean): readonly WindowEntry[] {
    return [...this.entries.values()].filter(entry => isWanted(entry.position));
  }

  /** Takes over entries of another owner; false, and nothing taken, when there is no room. */
  tryAbsorb(entries: readonly WindowEntry[], nowMs: number): boolean {
    this.dropExpired(nowMs);
    const fresh = entries.filter(
      entry => !this.entries.has(entry.idempotencyKey),
    );
    const bytes = fresh.reduce((sum, entry) => sum + getEntryBytes(entry), 0);
    if (this.entries.size + fresh.length > this.limits.maxEntries) return false;
    if (this.bytes + bytes > this.limits.maxBytes) return false;
    for (const entry of fresh) this.putEntry(entry);
    return true;
  }

  /** Forgets the entries whose positions pass the test. */
  removeEntries(isUnwanted: (position: number) => boolean): void {
    for (const entry of this.findEntries(isUnwanted))
      this.removeEntry(entry.idempotencyKey);
  }

  /** Number of entries. */
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
    const present = this.entries.get(idempotencyKey);
    return present === undefined ? 0 : getEntryBytes(present);
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
  const own = ENTRY_OVERHEAD_BYTES + entry.idempotencyKey.length;
  if (entry.state.kind !== 'finished') return own;
  const {answer} = entry.state;
  const headerBytes = answer.headerPairs.reduce(
    (sum, part) => sum + part.length,
    0,
  );
  return own + headerBytes + (answer.body?.byteLength ?? 0);
}
