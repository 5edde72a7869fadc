/**
 * Chooses the member that coordinates a subject, such as the placement of a service, by rendezvous
 * hashing. The choice only avoids duplicate work: if two members both consider themselves chosen, the
 * conditional update in the store lets only one of them write.
 */
import {formatMember} from '@dottereldrift/core/member.js';
import {hashKey} from '@dottereldrift/core/ring_hash.js';
import type {Member} from '@dottereldrift/core/types.js';

/** Caches the choices per list of members; lists are immutable, and the one of a fleet rarely changes. */
const cachedChoices = new WeakMap<
  readonly Member[],
  Map<string, Member | undefined>
>();

/** Returns the live member with the highest hash for the subject, or undefined if none is live. */
export function chooseCoordinator(
  subject: string,
  live: readonly Member[],
): Member | undefined {
  const choices =
    cachedChoices.get(live) ?? new Map<string, Member | undefined>();
  cachedChoices.set(live, choices);
  if (!choices.has(subject)) choices.set(subject, findHighest(subject, live));
  return choices.get(subject);
}

function findHighest(
  subject: string,
  live: readonly Member[],
): Member | undefined {
  let best: Member | undefined;
  let bestRank = -1;
  for (const member of live) {
    const rank = hashKey(`${subject}/${formatMember(member)}`);
    if (rank > bestRank) {
      best = member;
      bestRank = rank;
    }
  }
  return best;
}
