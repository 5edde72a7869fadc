/**
 * Simulates a host whose slow link carries downloads beside short calls of other backend servers, and compares
 * what callers get with and without pacing and admission by the link.
 */
import test from 'ava';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import {VirtualSystem} from '@dottereldrift/core/virtual_system.js';

import {EgressAdmission} from '../src/egress_admission.js';
import {EgressPacer} from '../src/egress_pacer.js';

const LINK_BITS_PER_SECOND = 8_400_000;
const LINK_BYTES_PER_MS = LINK_BITS_PER_SECOND / 8 / 1_000;
const DOWNLOAD_BYTES = 90_000;
const DOWNLOAD_SERVICE_MS = 70;
const DOWNLOAD_GOAL_MS = 700;
const DOWNLOAD_DEADLINE_MS = 2_500;
const CALL_BYTES = 400;
const CALL_SERVICE_MS = 25;
const CALL_GOAL_MS = 100;
const CALLS_PER_SECOND = 30;
const MAX_TRIES = 2;
const RETRY_AFTER_MS = DOWNLOAD_GOAL_MS / 4;
const DURATION_MS = 20_000;
const SEEDS = [1, 2, 3];

/** Sends bytes in order of arrival at a limited bandwidth. */
class Link {
  private idleAtMs = 0;

  constructor(private readonly system: VirtualSystem) {}

  send(bytes: number, onArrival: () => void): void {
    const nowMs = this.system.getNow().monotonicMs;
    this.idleAtMs = Math.max(nowMs, this.idleAtMs) + bytes / LINK_BYTES_PER_MS;
    this.system.startTimer(this.idleAtMs - nowMs, onArrival);
  }
}

interface Load {
  /** Downloads that callers want, as a multiple of what the link can carry. */
  readonly downloads: number;
  readonly isPaced: boolean;
  readonly seed: number;
}

interface Outcome {
  /** Fraction of the calls answered within their goal. */
  readonly callsInGoal: number;
  /** Downloads complete within their goal, as a fraction of those that the link can carry or callers want. */
  readonly downloadsInGoal: number;
}

function runLoad({downloads, isPaced, seed}: Load): Outcome {
  const generator = xoroshiro128plus(seed);
  const draw = () => uniformFloat64(generator);
  const system = new VirtualSystem(draw);
  const link = new Link(system);
  const pacer = new EgressPacer(system, LINK_BITS_PER_SECOND);
  const admission = new EgressAdmission(pacer);
  let calls = 0;
  let callsInGoal = 0;
  let downloadsInGoal = 0;

  const sendCall = () => {
    calls += 1;
    const startedAtMs = system.getNow().monotonicMs;
    system.startTimer(CALL_SERVICE_MS * (0.5 + draw()), () => {
      link.send(CALL_BYTES, () => {
        const tookMs = system.getNow().monotonicMs - startedAtMs;
        if (tookMs <= CALL_GOAL_MS) callsInGoal += 1;
      });
    });
  };

  const sendDownload = (wantedAtMs: number, tries = 1) => {
    const nowMs = system.getNow().monotonicMs;
    if (nowMs - wantedAtMs >= DOWNLOAD_DEADLINE_MS) return;
    const endReservation = isPaced
      ? admission.tryReserve(DOWNLOAD_BYTES, DOWNLOAD_GOAL_MS)
      : () => {};
    if (endReservation === undefined) {
      if (tries < MAX_TRIES)
        system.startTimer(RETRY_AFTER_MS, () => {
          sendDownload(wantedAtMs, tries + 1);
        });
      return;
    }
    const onArrival = () => {
      const tookMs = system.getNow().monotonicMs - wantedAtMs;
      if (tookMs <= DOWNLOAD_GOAL_MS) downloadsInGoal += 1;
    };
    system.startTimer(DOWNLOAD_SERVICE_MS * (0.5 + draw()), () => {
      endReservation();
      if (!isPaced) {
        link.send(DOWNLOAD_BYTES, onArrival);
        return;
      }
      let leftBytes = DOWNLOAD_BYTES;
      const transfer = pacer.startTransfer({
        write: chunk => {
          leftBytes -= chunk.byteLength;
          link.send(chunk.byteLength, leftBytes === 0 ? onArrival : () => {});
          return true;
        },
        waitForDrain: () => {},
      });
      transfer.writeChunk(Buffer.alloc(DOWNLOAD_BYTES));
    });
  };

  const startArrivals = (perMs: number, send: () => void) => {
    let atMs = 0;
    while (atMs < DURATION_MS) {
      atMs += -Math.log(1 - draw()) / perMs;
      system.startTimer(atMs, send);
    }
  };
  const capacityPerMs = LINK_BYTES_PER_MS / DOWNLOAD_BYTES;
  startArrivals(CALLS_PER_SECOND / 1_000, sendCall);
  startArrivals(capacityPerMs * downloads, () => {
    sendDownload(system.getNow().monotonicMs);
  });
  system.runUntil(DURATION_MS + DOWNLOAD_DEADLINE_MS);
  const attainable = capacityPerMs * DURATION_MS * Math.min(1, downloads);
  return {
    callsInGoal: callsInGoal / calls,
    downloadsInGoal: downloadsInGoal / attainable,
  };
}

function runSeeds(load: Omit<Load, 'seed'>): Outcome {
  const outcomes = SEEDS.map(seed => runLoad({...load, seed}));
  const average = (field: keyof Outcome) =>
    outcomes.reduce((sum, outcome) => sum + outcome[field], 0) / SEEDS.length;
  return {
    callsInGoal: average('callsInGoal'),
    downloadsInGoal: average('downloadsInGoal'),
  };
}

// Guards against downloads that fill a slow link and delay the calls of other servers past their goals.
test('calls stay in time beside more downloads than the link can carry', t => {
  const rows = [0.5, 1, 2, 4].map(downloads => {
    const before = runSeeds({downloads, isPaced: false});
    const after = runSeeds({downloads, isPaced: true});
    t.true(after.callsInGoal >= 0.9, `calls at ${downloads}`);
    t.true(after.downloadsInGoal >= 0.6, `downloads at ${downloads}`);
    const format = ({callsInGoal, downloadsInGoal}: Outcome) =>
      `calls ${callsInGoal.toFixed(2)}, downloads ${downloadsInGoal.toFixed(2)}`;
    return `${downloads}x: ${format(before)} -> ${format(after)}`;
  });
  t.snapshot(rows);
});
