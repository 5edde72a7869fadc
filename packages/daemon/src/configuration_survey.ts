/**
 * Asks every daemon of the fleet which configuration it has in force, so that an operator sees whether all agree.
 * Made on request only, since it costs a call to each daemon.
 */
import {getErrorText} from '@dottereldrift/core/errors.js';
import type {HostName} from '@dottereldrift/core/types.js';
import type {Session} from '@dottereldrift/membership/types.js';

import type {PeerClients} from './peer_client.js';
import type {StoreView} from './store_view.js';

/** The configuration that one daemon has in force. */
export interface ConfigurationState {
  /** Generation of the configuration; 0 if there is none. */
  readonly generation: number;
  /** Time for which it has been in force, in milliseconds; infinite if there is none. */
  readonly inForceMs: number;
  /** Time since the daemon heard from the store, directly or through others, in milliseconds. */
  readonly storeSilenceMs: number;
}

/** What one daemon of the fleet answered. */
export interface SurveyRow {
  readonly host: HostName;
  readonly dataCentre: string;
  /** Undefined if the daemon did not answer. */
  readonly state: ConfigurationState | undefined;
  /** Why there is no state; empty if there is one. */
  readonly reason: string;
}

/** Number of daemons that are asked at once. */
const MAX_CONCURRENT_CALLS = 32;

/** The part of the store view that a survey needs. */
export type SurveyView = Pick<
  StoreView,
  'getLiveSessions' | 'getManifest' | 'getManifestAgeMs' | 'getSilenceMs'
>;

/** Surveys the fleet. */
export class ConfigurationSurvey {
  constructor(
    private readonly selfHost: HostName,
    private readonly view: SurveyView,
    private readonly peers: Pick<PeerClients, 'getClient'>,
  ) {}

  /** Returns the configuration that this daemon has in force. */
  readOwnState(): ConfigurationState {
    return {
      generation: this.view.getManifest()?.generation ?? 0,
      inForceMs: this.view.getManifestAgeMs(),
      storeSilenceMs: this.view.getSilenceMs(),
    };
  }

  /** Asks every live daemon; returns the rows ordered by host. */
  async askFleet(): Promise<readonly SurveyRow[]> {
    const pending = [...this.view.getLiveSessions()].sort((a, b) =>
      a.member.host < b.member.host ? -1 : 1,
    );
    const rows: SurveyRow[] = [];
    while (pending.length > 0) {
      const batch = pending.splice(0, MAX_CONCURRENT_CALLS);
      rows.push(
        ...(await Promise.all(batch.map(session => this.askDaemon(session)))),
      );
    }
    return rows;
  }

  private async askDaemon(session: Session): Promise<SurveyRow> {
    const {member, dataCentre, peerAddress} = session;
    const {host} = member;
    if (host === this.selfHost)
      return {host, dataCentre, state: this.readOwnState(), reason: ''};
    try {
      const answer = await this.peers
        .getClient(peerAddress)
        .describeConfiguration({});
      const {inForceMs, storeSilenceMs} = answer;
      const generation = Number(answer.generation);
      const state = {generation, inForceMs, storeSilenceMs};
      return {host, dataCentre, state, reason: ''};
    } catch (error) {
      const reason = getErrorText(error);
      return {host, dataCentre, state: undefined, reason};
    }
  }
}
