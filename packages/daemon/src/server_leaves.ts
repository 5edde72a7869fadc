/**
 * Which servers of this host have said that they end. A server goes on with its heartbeats for a while
 * after that, and they need not repeat it, so the leave is kept for the life that said it.
 */
import type {System} from '@dottereldrift/core/system.js';
import type {ServerInfo} from '@dottereldrift/membership/types.js';

import type {ServerHeartbeat} from './server_types.js';

/** Leaves that are kept of servers which have not been heard; one server is to be expected. */
const MAX_UNHEARD_LEAVES = 16;
/** Lives whose leaves are kept, the last ones: those before them have ended. */
const MAX_LEFT_LIVES = 16;

/** Keeps the leaves of servers. */
export class ServerLeaves {
  /** Lives that have said that they end. */
  private readonly leftLives = new Set<string>();
  /** When servers that this process had not heard said that they end, by the wall clock and their identifiers. */
  private readonly unheard = new Map<string, number>();

  constructor(
    private readonly system: System,
    /** The servers that the session of the run before this process names. */
    private readonly getEarlierServers: () => readonly ServerInfo[],
  ) {}

  /** Keeps the leave of the life whose heartbeat was the last one of an identifier. */
  keepHeard({info, instanceId}: ServerHeartbeat): void {
    this.keepLeft(info.life ?? instanceId);
  }

  private keepLeft(life: string): void {
    this.leftLives.delete(life);
    this.leftLives.add(life);
    dropOldest(this.leftLives, MAX_LEFT_LIVES);
  }

  /** Keeps the leave of a server that has not been heard here, for the life that is heard next. */
  keepUnheard(instanceId: string): void {
    this.unheard.delete(instanceId);
    this.unheard.set(instanceId, this.system.getNow().wallMs);
    dropOldest(this.unheard, MAX_UNHEARD_LEAVES);
  }

  /** Tells whether a life has said that it ends, to this process or to a run of this daemon before it. */
  hasLeft({info, instanceId, bornAtMs}: ServerHeartbeat): boolean {
    const life = info.life ?? instanceId;
    const leftAtMs = this.unheard.get(instanceId);
    this.unheard.delete(instanceId);
    // A life that began after the leave has the identifier of the one that left.
    if (leftAtMs !== undefined && bornAtMs <= leftAtMs) this.keepLeft(life);
    const isLeftBefore = this.getEarlierServers().some(
      earlier => earlier.isLeaving && earlier.life === life,
    );
    return isLeftBefore || this.leftLives.has(life);
  }
}

/** Drops the element that was added first where there are more than are to be kept. */
function dropOldest(
  kept: Set<string> | Map<string, number>,
  most: number,
): void {
  const [oldest] = kept.keys();
  if (oldest !== undefined && kept.size > most) kept.delete(oldest);
}
