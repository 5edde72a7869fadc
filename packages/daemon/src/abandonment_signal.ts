/**
 * Signals to the stages of a request that its caller has disconnected. Every request has one, so this is
 * a cheaper replacement for `AbortController`.
 */

/** Records whether the caller has disconnected and notifies listeners. */
export class AbandonmentSignal {
  private hasFired = false;
  private listeners: ReadonlyArray<() => void> = [];

  /** Returns whether the caller has disconnected. */
  isAbandoned(): boolean {
    return this.hasFired;
  }

  /** Adds a listener that is called once on disconnection; never if the caller has already disconnected. */
  addListener(listener: () => void): void {
    this.listeners = [...this.listeners, listener];
  }

  removeListener(listener: () => void): void {
    this.listeners = this.listeners.filter(other => other !== listener);
  }

  /** Records the disconnection and notifies the listeners. */
  recordDisconnect(): void {
    if (this.hasFired) return;
    this.hasFired = true;
    const {listeners} = this;
    this.listeners = [];
    for (const listener of listeners) listener();
  }
}
