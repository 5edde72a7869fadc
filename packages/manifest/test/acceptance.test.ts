/**
 * Tests of the acceptance of submitted manifests.
 */
import test from 'ava';
import fc from 'fast-check';

import {chooseNewer, evaluateManifest} from '../src/acceptance.js';
import type {AcceptedManifest, ManifestStatus} from '../src/types.js';

const VALID_MANIFEST = JSON.stringify({
  services: {
    menu: {
      division: 'byKey',
      kinds: [{name: 'read', idempotent: true, deadlineMs: 500}],
    },
  },
});

test('the first valid manifest becomes generation 1', t => {
  t.snapshot(
    evaluateManifest({text: VALID_MANIFEST, version: 4}, undefined, undefined),
  );
});

test('an invalid manifest never replaces a valid one', t => {
  const first = evaluateManifest(
    {text: VALID_MANIFEST, version: 4},
    undefined,
    undefined,
  );
  const second = evaluateManifest(
    {text: '{"services": {"menu": {}}}', version: 9},
    first?.accepted,
    first?.status,
  );
  t.is(second?.accepted, undefined);
  t.snapshot(second?.status);
});

test('a missing status is written without a new generation', t => {
  const first = evaluateManifest(
    {text: VALID_MANIFEST, version: 4},
    undefined,
    undefined,
  );
  const again = evaluateManifest(
    {text: VALID_MANIFEST, version: 4},
    first?.accepted,
    undefined,
  );
  t.is(again?.accepted, undefined);
  t.deepEqual(again?.status, first?.status);
});

test('generations never decrease, regardless of the order of submissions', t => {
  const submission = fc.record({
    isValid: fc.boolean(),
    version: fc.integer({min: 1, max: 30}),
    isStatusLost: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(submission, {maxLength: 40}), submissions => {
      let accepted: AcceptedManifest | undefined;
      let status: ManifestStatus | undefined;
      for (const {isValid, version, isStatusLost} of submissions) {
        const text = isValid ? VALID_MANIFEST : '{}';
        const decision = evaluateManifest({text, version}, accepted, status);
        if (decision === undefined) continue;
        const before = accepted;
        accepted = decision.accepted ?? accepted;
        if (!isStatusLost) status = decision.status;
        if ((accepted?.generation ?? 0) < (before?.generation ?? 0))
          return false;
        if ((accepted?.sourceVersion ?? 0) < (before?.sourceVersion ?? 0))
          return false;
      }
      return true;
    }),
    {seed: 20_261_204, numRuns: 500},
  );
  t.pass();
});

test('the manifest with the higher generation is kept', t => {
  const low = {generation: 2, sourceVersion: 3, manifest: {services: {}}};
  const high = {generation: 5, sourceVersion: 9, manifest: {services: {}}};
  t.is(chooseNewer(high, low), high);
  t.is(chooseNewer(low, high), high);
  t.is(chooseNewer(undefined, low), low);
});
