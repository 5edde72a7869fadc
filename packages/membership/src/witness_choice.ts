/**
 * Chooses the witnesses of a member: live members, preferably of its own region, spread over data centres,
 * and kept while they are live.
 */
import {formatMember, isSameMember} from '@dottereldrift/core/member.js';
import {hashKey} from '@dottereldrift/core/ring_hash.js';
import type {Member} from '@dottereldrift/core/types.js';

import {
  LARGE_FLEET_SIZE,
  LARGE_WITNESS_SET_SIZE,
  SMALL_WITNESS_SET_SIZE,
} from './constants.js';
import type {Session} from './types.js';

/** Chooses a witness set for a member, keeping its current witnesses that are still live. */
export function chooseWitnesses(
  self: Pick<Session, 'member' | 'region' | 'dataCentre'>,
  live: readonly Session[],
  current: readonly Member[],
): readonly Member[] {
  const candidates = getCandidates(self, live);
  const size = getSetSize(live.length, candidates.length);
  if (size === 0) return [self.member];
  const kept = candidates.filter(other =>
    current.some(old => isSameMember(old, other.member)),
  );
  const ranked = rankCandidates(self.member, candidates);
  const chosen = chooseSpread(
    filterSpread(kept, candidates, size),
    ranked,
    size,
  );
  return chosen.map(session => session.member);
}

/** Returns whether two sets have the same members. */
export function isSameSet(a: readonly Member[], b: readonly Member[]): boolean {
  if (a.length !== b.length) return false;
  return a.every(member => b.some(other => isSameMember(member, other)));
}

function getCandidates(
  self: Pick<Session, 'member' | 'region'>,
  live: readonly Session[],
): readonly Session[] {
  const others = live.filter(
    session =>
      !session.isEnded &&
      !session.isLeaving &&
      session.member.host !== self.member.host,
  );
  const sameRegion = others.filter(session => session.region === self.region);
  return sameRegion.length >= SMALL_WITNESS_SET_SIZE ? sameRegion : others;
}

/** Returns an odd set size, because an even one needs a larger majority without tolerating more losses. */
function getSetSize(fleetSize: number, candidateCount: number): number {
  const wanted =
    fleetSize >= LARGE_FLEET_SIZE
      ? LARGE_WITNESS_SET_SIZE
      : SMALL_WITNESS_SET_SIZE;
  const available = Math.min(wanted, candidateCount);
  return available % 2 === 0 ? Math.max(0, available - 1) : available;
}

/** Orders candidates by a hash of member host and candidate, so that members get different witnesses. */
function rankCandidates(
  member: Member,
  candidates: readonly Session[],
): readonly Session[] {
  return candidates
    .map(session => ({
      session,
      rank: hashKey(`${member.host}/${formatMember(session.member)}`),
    }))
    .sort((a, b) => a.rank - b.rank)
    .map(({session}) => session);
}

/**
 * Keeps no more current witnesses per data centre than an even distribution has, so that losing one data
 * centre leaves a majority of the set.
 */
function filterSpread(
  kept: readonly Session[],
  candidates: readonly Session[],
  size: number,
): readonly Session[] {
  const dataCentres = new Set(candidates.map(session => session.dataCentre));
  const limit = Math.ceil(size / Math.max(1, dataCentres.size));
  const isWithinLimit = (session: Session, index: number) =>
    kept
      .slice(0, index)
      .filter(other => other.dataCentre === session.dataCentre).length < limit;
  return kept.filter(isWithinLimit).slice(0, size);
}

/** Fills a set up to its size, always from the data centre least represented in it. */
function chooseSpread(
  kept: readonly Session[],
  ranked: readonly Session[],
  size: number,
): readonly Session[] {
  const chosen = [...kept];
  while (chosen.length < size) {
    const next = findLeastRepresented(ranked, chosen);
    if (next === undefined) break;
    chosen.push(next);
  }
  return chosen;
}

/** Returns the first session that is not chosen yet from the data centre with the fewest chosen ones. */
function findLeastRepresented(
  ranked: readonly Session[],
  chosen: readonly Session[],
): Session | undefined {
  const counts = new Map<string, number>();
  for (const {dataCentre} of chosen)
    counts.set(dataCentre, (counts.get(dataCentre) ?? 0) + 1);
  let best: Session | undefined;
  let bestCount = Infinity;
  for (const session of ranked) {
    const count = counts.get(session.dataCentre) ?? 0;
    if (count >= bestCount || chosen.includes(session)) continue;
    best = session;
    bestCount = count;
  }
  return best;
}
