/**
 * Records which daemons have announced that they take no more requests from their peers, so that none is sent to a
 * daemon whose listener is about to close: a connection that is opened at that moment is reset, and the outcome
 * of its request is unknown.
 */
import type {System} from '@dottereldrift/core/system.js';
import type {HostName, Incarnation, Member} from '@dottereldrift/core/types.js';

/** Time after which a daemon that still has the same session is assumed to continue, in milliseconds. */
const NOTICE_LIFETIME_MS = 30_000;

interface Notice {
  readonly incarnation: Incarnation;
  readonly receivedAtMs: number;
}

/** Daemons that are stopping. */
export class StoppingMembers {
  private readonly notices = new Map<HostName, Notice>();

  constructor(private readonly system: System) {}

  /** Records the stop notice of a daemon. */
  addNotice({host, incarnation}: Member): void {
    const receivedAtMs = this.system.getNow().monotonicMs;
    this.notices.set(host, {incarnation, receivedAtMs});
  }

  /** Returns whether any daemon is stopping. */
  isEmpty(): boolean {
    return this.notices.size === 0;
  }

  /** Returns whether a daemon is stopping; its successor on the same host is not. */
  isStopping({host, incarnation}: Member): boolean {
    const notice = this.notices.get(host);
    if (notice === undefined) return false;
    const ageMs = this.system.getNow().monotonicMs - notice.receivedAtMs;
    if (notice.incarnation === incarnation && ageMs < NOTICE_LIFETIME_MS)
      return true;
    this.notices.delete(host);
    return false;
  }
}
