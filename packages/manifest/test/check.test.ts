/**
 * Tests of manifest validation.
 */
import test from 'ava';
import * as E from 'fp-ts/lib/Either.js';

import {checkManifest, formatValidationError} from '../src/check.js';

const KIND = {name: 'read', idempotent: true, deadlineMs: 500};

function createText(service: object): string {
  return JSON.stringify({services: {menu: service}});
}

test('a minimal manifest is accepted and completed with defaults', t => {
  t.snapshot(checkManifest(createText({division: 'byKey', kinds: [KIND]})));
});

test('all validation errors are reported at once', t => {
  const checked = checkManifest(
    createText({
      division: 'byHand',
      slots: 3,
      kinds: [{...KIND, deadlineMs: 0, priority: '7'}, KIND, KIND],
    }),
  );
  t.snapshot(
    E.isLeft(checked) ? checked.left.map(formatValidationError) : checked,
  );
});

test('a text that is not JSON is rejected', t => {
  t.true(E.isLeft(checkManifest('{"services":')));
});
