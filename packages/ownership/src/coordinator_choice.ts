/**
 * Chooses the member that decides placement for a subject. The choice only avoids wasted work: two
 * members that both believe to be chosen are kept apart by the conditional update of what they write.
 */
import {formatMember} from '@dottereldrift/core/member.js';
import {hashKey} from '@dottereldrift/core/ring_hash.js';
import type {Member} from '@dottereldrift/core/types.js';

/** Returns the live member with the highest hash for the subject. */
export function chooseCoordinator(
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
