/**
 * Records which backend servers on this host have announced their shutdown. A server keeps sending
 * heartbeats for a while after the announcement and need not repeat it, so the departure is kept
 * for the server incarnation that announced it.
 */
import type {System} from '@dottereldrift/core/system.js';
import type {ServerInfo} from '@dottereldrift/membership/types.js';

import type {ServerHeartbeat} from './server_types.js';

/**
 * Maximum number of departures kept for servers that have sent no heartbeat here; normally there is
 * at most one.
 */
const MAX_UNKNOWN_DEPARTURES = 16;
/**
 * Maximum number of server incarnations whose departures are kept. The oldest are dropped: they
 * have ended by then.
 */
const MAX_DEPARTED_INCARNATIONS = 16;

/** Keeps the announced departures of backend servers. */
export class ServerDepartures {
  /** Server incarnations that have announced their shutdown. */
  private readonly departedIncarnations = new Set<string>();
  /**
   * Wall-clock times, by instance identifier, at which servers without a heartbeat in this process
   * announced their shutdown.
   */
  private readonly unknownDepartures = new Map<string, number>();

  constructor(
    private readonly system: System,
    /** Returns the servers listed in the session of the previous daemon process. */
    private readonly getPreviousServers: () => readonly ServerInfo[],
  ) {}

  /** Records the departure of the server incarnation that sent the last heartbeat of an instance. */
  recordDeparture({info, instanceId}: ServerHeartbeat): void {
    this.recordIncarnation(info.life ?? instanceId);
  }

  private recordIncarnation(serverIncarnation: string): void {
    this.departedIncarnations.delete(serverIncarnation);
    this.departedIncarnations.add(serverIncarnation);
    dropOldest(this.departedIncarnations, MAX_DEPARTED_INCARNATIONS);
  }

  /**
   * Records the departure of an instance that has sent no heartbeat to this process; it is applied
   * to the next server incarnation heard under that identifier.
   */
  recordUnknownDeparture(instanceId: string): void {
    this.unknownDepartures.delete(instanceId);
    this.unknownDepartures.set(instanceId, this.system.getNow().wallMs);
    dropOldest(this.unknownDepartures, MAX_UNKNOWN_DEPARTURES);
  }

  /**
   * Tells whether a server incarnation has announced its shutdown, to this process or to a previous
   * daemon process.
   */
  hasLeft({info, instanceId, startedAtMs: startMs}: ServerHeartbeat): boolean {
    const serverIncarnation = info.life ?? instanceId;
    const leftAtMs = this.unknownDepartures.get(instanceId);
    this.unknownDepartures.delete(instanceId);
    // A server incarnation that started after the announcement reuses the identifier of the one
    // that departed.
    if (leftAtMs !== undefined && startMs <= leftAtMs)
      this.recordIncarnation(serverIncarnation);
    const hasLeftPreviousProcess = this.getPreviousServers().some(
      previous => previous.isLeaving && previous.life === serverIncarnation,
    );
    return (
      hasLeftPreviousProcess || this.departedIncarnations.has(serverIncarnation)
    );
  }
}

/** Removes the element that was added first if the collection exceeds its maximum size. */
function dropOldest(
  kept: Set<string> | Map<string, number>,
  maxSize: number,
): void {
  const [oldest] = kept.keys();
  if (oldest !== undefined && kept.size > maxSize) kept.delete(oldest);
}
