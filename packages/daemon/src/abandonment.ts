/**
 * Tells the stages of a request that its caller has left. One object serves a request; it costs less
 * than an `AbortController`, which every request would need.
 */

/** Whether a caller has left, and who wants to know. */
export class Abandonment {
  private isOver = false;
  private listeners: ReadonlyArray<() => void> = [];

  /** Tells whether the caller has left. */
  hasHappened(): boolean {
    return this.isOver;
  }

  /** Calls back once when the caller leaves; never when it has left already. */
  addListener(listener: () => void): void {
    this.listeners = [...this.listeners, listener];
  }

  removeListener(listener: () => void): void {
    this.listeners = this.listeners.filter(other => other !== listener);
  }

  /** Takes note that the caller has left. */
  record(): void {
    if (this.isOver) return;
    this.isOver = true;
    const {listeners} = this;
    this.listeners = [];
    for (const listener of listeners) listener();
  }
}
