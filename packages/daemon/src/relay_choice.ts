/**
 * Chooses the relay of a data centre. The choice only saves calls to the store: two relays at once,
 * or none that two daemons agree on, cost calls and nothing else.
 */
import type {HostName} from '@dottereldrift/core/types.js';
import type {Session} from '@dottereldrift/membership/types.js';
import {chooseCoordinator} from '@dottereldrift/ownership/coordinator_choice.js';

/** Returns the session of the data centre's relay; undefined when every daemon there is avoided. */
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
