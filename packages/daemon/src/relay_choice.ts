/**
 * Chooses the relay of a data centre. Relays only reduce the number of store calls, so it is harmless
 * if daemons temporarily disagree about the choice or if there are two relays at once.
 */
import type {HostName} from '@dottereldrift/core/types.js';
import type {Session} from '@dottereldrift/membership/types.js';
import {chooseCoordinator} from '@dottereldrift/ownership/coordinator_choice.js';

/** Returns the session of the data centre's relay, or undefined if it has no eligible daemon. */
export function chooseRelay(
  dataCentre: string,
  live: readonly Session[],
  isAvoided: (host: HostName) => boolean,
): Session | undefined {
  const candidates = live.filter(
    session =>
      session.dataCentre === dataCentre &&
      !session.isLeaving &&
      !isAvoided(session.member.host),
  );
  const members = candidates.map(session => session.member);
  const chosen = chooseCoordinator(`relay/${dataCentre}`, members);
  return candidates.find(session => session.member === chosen);
}
