/**
 * Tests of planned moves of a part of a slice whose owner has not seen the split yet: the owner
 * must keep serving the part that does not move.
 */
import test from 'ava';

import {createLog} from '@dottereldrift/core/log.js';
import {SliceGate} from '@dottereldrift/ownership/slice_gate.js';
import {getSliceEnd, isolatePosition} from '@dottereldrift/ownership/slices.js';
import type {Slice} from '@dottereldrift/ownership/types.js';

import {SliceReleaser} from '../src/slice_releaser.js';
import type {Owner} from '../src/owner.js';
import type {PeerClients} from '../src/peer_client.js';
import type {ServerRegistry} from '../src/server_registry.js';
import type {StoreView} from '../src/store_view.js';
import {ManualSystem} from './fakes.js';

const SERVICE = 'menu';
const SELF = {host: 'h1', incarnation: 'a'};
const NEXT = {host: 'h2', incarnation: 'a'};
const HOT_POSITION = 700;
const WHOLE: Slice = {
  start: 0,
  owner: SELF,
  token: 1,
  nextOwner: undefined,
  recordsSince: 0,
};
const CUT = isolatePosition([WHOLE], HOT_POSITION);
const STEP_MS = 20;
const STEPS = 200;

class Bench {
  readonly system = new ManualSystem();
  readonly gate = new SliceGate(SELF);
  private readonly releaser = new SliceReleaser(
    this.system,
    {} as StoreView,
    {
      filterUnchanged: (_service, refs) => this.gate.filterUncut(refs),
      releaseSlices: (_service, _owner, refs) => this.gate.releaseSlices(refs),
      getAssignment: () => this.gate.getAssignment(),
      getIdempotencyEntries: () => [],
    } as Partial<Owner> as Owner,
    {
      isGrantingByHeartbeat: () => false,
      tryRevoke: () => Promise.resolve(true),
      getGrantLeftMs: () => 0,
    } as Partial<ServerRegistry> as ServerRegistry,
    {} as PeerClients,
    createLog('test', 'hidden', 'error'),
  );

  applySlices(generation: number, slices: readonly Slice[]): void {
    const writer = SELF;
    this.gate.applyAssignment({service: SERVICE, generation, slices, writer});
  }

  /**
   * Requests the release of the first part of the split slice, and advances time until there is a
   * result.
   */
  async releasePart(onStep: (step: number) => void = () => {}) {
    const ref = {start: 0, token: 1, end: getSliceEnd(CUT, 0)};
    let released: readonly {readonly start: number}[] | undefined;
    void this.releaser.release(SERVICE, SELF, NEXT, [ref]).then(refs => {
      released = refs;
    });
    for (let step = 0; released === undefined && step < STEPS; step++) {
      onStep(step);
      await new Promise(resolve => setImmediate(resolve));
      this.system.shift(STEP_MS);
    }
    return released?.map(({start}) => start);
  }

  getKinds(): readonly string[] {
    const positions = [0, HOT_POSITION, HOT_POSITION + 1];
    return positions.map(position => this.gate.checkPosition(position).kind);
  }
}

test('an owner that has not seen a split keeps serving the whole slice when a part is to be moved', async t => {
  const bench = new Bench();
  bench.applySlices(1, [WHOLE]);
  t.deepEqual(await bench.releasePart(), []);
  t.deepEqual(bench.getKinds(), ['owned', 'owned', 'owned']);
});

test('a part is released as soon as the split is known, and the rest is still served', async t => {
  const bench = new Bench();
  bench.applySlices(1, [WHOLE]);
  const released = await bench.releasePart(step => {
    if (step === 3) bench.applySlices(2, CUT);
  });
  t.deepEqual(released, [0]);
  t.deepEqual(bench.getKinds(), ['moving', 'owned', 'owned']);
});
