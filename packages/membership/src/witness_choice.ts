/**
 * Chooses the witnesses of a member: live members of its own region, spread over data centres, the
 * same ones as long as they live.
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

/** Chooses a witness set for a member, keeping present witnesses that still live. */
export function chooseWitnesses(
  self: Pick<Session, 'member' | 'region' | 'dataCentre'>,
  live: readonly Session[],
  present: readonly Member[],
): readonly Member[] {
  const candidates = getCandidates(self, live);
  const size = getSetSize(live.length, candidates.length);
  if (size === 0) return [self.member];
  const kept = candidates.filter(other =>
    present.some(old => isSameMember(old, other.member)),
  );
  const ranked = rankCandidates(self.member, candidates);
  const chosen = chooseSpread(
    filterSpread(kept, candidates, size),
    ranked,
    size,
  );
  return chosen.map(session => session.member);
}

/** Tells whether two sets have the same members. */
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

/** Returns an odd size, so that a majority is as small as it can be. */
function getSetSize(fleetSize: number, candidateCount: number): number {
  const wanted =
    fleetSize >= LARGE_FLEET_SIZE
      ? LARGE_WITNESS_SET_SIZE
      : SMALL_WITNESS_SET_SIZE;
  const available = Math.min(wanted, candidateCount);
  return available % 2 === 0 ? Math.max(0, available - 1) : available;
}

/** Orders candidates by a hash of the pair, so that every member has witnesses of its own. */
function rankCandidates(
  member: Member,
  candidates: readonly Session[],
): readonly Session[] {
  const rank = (session: Session) =>
    hashKey(`${member.host}/${formatMember(session.member)}`);
  return [...candidates].sort((a, b) => rank(a) - rank(b));
}

/**
 * Keeps no more witnesses in one data centre than an even spread has, so that the loss of a data
 * centre leaves a majority of the set.
 */
function filterSpread(
  kept: readonly Session[],
  candidates: readonly Session[],
  size: number,
): readonly Session[] {
  const centres = new Set(candidates.map(session => session.dataCentre));
  const limit = Math.ceil(size / Math.max(1, centres.size));
  const isWithinLimit = (session: Session, index: number) =>
    kept
      .slice(0, index)
      .filter(other => other.dataCentre === session.dataCentre).length < limit;
  return kept.filter(isWithinLimit).slice(0, size);
}

/** Fills a set up to its size, each time from the data centre least present in it. */
function chooseSpread(
  kept: readonly Session[],
  ranked: readonly Session[],
  size: number,
): readonly Session[] {
  const chosen = [...kept];
  while (chosen.length < size) {
    const free = ranked.filter(session => !chosen.includes(session));
    const next = findLeastPresent(free, chosen);
    if (next === undefined) break;
    chosen.push(next);
  }
  return chosen;
}

function findLeastPresent(
  free: readonly Session[],
  chosen: readonly Session[],
): Session | undefined {
  const count = (session: Session) =>
    chosen.filter(other => other.dataCentre === session.dataCentre).length;
  return free.reduce<Session | undefined>((best, session) => {
    return best === undefined || count(session) < count(best) ? session : best;
  }, undefined);
}
