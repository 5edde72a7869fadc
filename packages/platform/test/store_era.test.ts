/**
 * Tests how the era is read from the responses of the platform's store.
 */
import test from 'ava';

import {createLog} from '@dottereldrift/core/log.js';
import {MAX_ERA} from '@dottereldrift/store/version.js';

import {StoreEra} from '../src/store_era.js';

function createEra(getNowMs = () => 0): StoreEra {
  return new StoreEra(createLog('test', 'hidden', 'error'), getNowMs);
}

test('a store without eras is in era 0', t => {
  const era = createEra();
  t.is(era.receive(undefined), 0);
  t.is(era.get(), 0);
});

test('a response of an earlier era does not lower the era', t => {
  const era = createEra();
  t.is(era.receive('3'), 3);
  t.is(era.receive('2'), 2);
  t.is(era.get(), 3);
});

test('a response without a readable era counts as one of the highest era seen', t => {
  const era = createEra();
  era.receive('3');
  const invalid = [
    undefined,
    '',
    'x',
    '-1',
    '4.5',
    '0x9',
    ['4', '5'],
    `${MAX_ERA + 1}`,
  ];
  t.deepEqual(
    invalid.map(header => era.receive(header)),
    invalid.map(() => 3),
  );
  t.is(era.get(), 3);
});

test('copies of a store without eras may be read at once, of one with eras some time after each change', t => {
  let nowMs = 0;
  const era = createEra(() => nowMs);
  era.receive(undefined);
  t.true(era.isSettled());
  era.receive('3');
  t.false(era.isSettled());
  nowMs = 30_000;
  t.true(era.isSettled());
  era.receive('2');
  t.false(era.isSettled(), 'a copy is behind');
});

test('an era that another daemon has seen is not lowered by a response either', t => {
  const era = createEra();
  era.recordEra(5);
  t.is(era.receive('4'), 4);
  t.is(era.get(), 5);
});
