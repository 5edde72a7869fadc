/**
 * The status of a daemon as it is reported to operators and in gauges.
 */
import type {System} from '@dottereldrift/core/system.js';
import {formatMember} from '@dottereldrift/core/member.js';
import {getOwnedSlices} from '@dottereldrift/ownership/slices.js';

import type {ControlCounters} from './control_counters.js';
import type {Owner} from './owner.js';
import type {ServerRegistry} from './server_registry.js';
import type {SessionManager} from './session_manager.js';
import type {StoreView} from './store_view.js';
import type {ViewSource} from './view_follower.js';

/** Time without contact to the store after which the configuration may be out of date. */
const FRESHNESS_LIMIT_MS = 30_000;

/** Status of one service on one host. */
export interface ServiceStatus {
  readonly service: string;
  readonly generation: number;
  readonly ownedSlices: number;
  readonly slots: number;
  /** Slots currently closed to long-running requests. */
  readonly reserved: number;
  readonly running: number;
  readonly queued: number;
  readonly isLeaving: boolean;
}

/** Control plane traffic since the daemon started, and the source of the daemon's view. */
export interface ControlStatus extends Readonly<ControlCounters> {
  readonly source: ViewSource;
  /** Number of daemons that follow this one as their relay. */
  readonly followers: number;
}

/** Status of a daemon. */
export interface DaemonStatus {
  readonly member: string;
  readonly isReady: boolean;
  readonly isLeaseHeld: boolean;
  /** Remaining time of the lease, in milliseconds. */
  readonly leaseRemainingMs: number;
  readonly witnesses: readonly string[];
  readonly manifestGeneration: number;
  /** False when the last contact to the store is so long ago that a newer configuration may exist. */
  readonly isConfigurationFresh: boolean;
  /** Era of the store that the daemon knows; rises by one each time the store was restored from a backup. */
  readonly storeEra: number;
  readonly liveHosts: number;
  readonly control: ControlStatus;
  readonly services: readonly ServiceStatus[];
}

/** Reads the status of this daemon. */
export class StatusReader {
  constructor(
    private readonly system: System,
    private readonly view: StoreView,
    private readonly sessionManager: SessionManager,
    private readonly registry: ServerRegistry,
    private readonly owner: Owner,
    private readonly readControlStatus: () => ControlStatus,
  ) {}

  readStatus(): DaemonStatus {
    const isLeaseHeld = this.sessionManager.isHeld();
    const leaseLeftMs =
      this.sessionManager.getEnd().monotonicMs -
      this.system.getNow().monotonicMs;
    const manifestGeneration = this.view.getManifest()?.generation ?? 0;
    return {
      member: formatMember(this.sessionManager.getMember()),
      isReady: isLeaseHeld && manifestGeneration > 0,
      isLeaseHeld,
      leaseRemainingMs: Math.max(0, Math.round(leaseLeftMs)),
      witnesses: (this.sessionManager.getSession()?.witnesses ?? []).map(
        formatMember,
      ),
      manifestGeneration,
      isConfigurationFresh: this.view.getSilenceMs() < FRESHNESS_LIMIT_MS,
      storeEra: this.view.getEra(),
      control: this.readControlStatus(),
      liveHosts: this.view.getLiveSessions().length,
      services: this.registry
        .getServers()
        .map(server => this.readService(server.info.service)),
    };
  }

  private readService(service: string): ServiceStatus {
    const assignment = this.owner.getAssignment(service);
    const server = this.registry.getServer(service);
    const owned = getOwnedSlices(
      assignment?.slices ?? [],
      this.sessionManager.getMember(),
    );
    return {
      service,
      generation: assignment?.generation ?? 0,
      ownedSlices: owned.length,
      slots: server?.info.slots ?? 0,
      reserved: server?.policy.getReservedSlots() ?? 0,
      running: server?.policy.getRunning() ?? 0,
      queued: server?.policy.getQueued() ?? 0,
      isLeaving: server?.info.isLeaving ?? false,
    };
  }
}
