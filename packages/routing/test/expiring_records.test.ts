/**
 * Tests that records that are not used any more are deleted.
 */
import test from 'ava';

import {VirtualSystem} from '@dottereldrift/core/virtual_system.js';

import {ExpiringRecords} from '../src/expiring_records.js';

test('a record is kept while it is used and deleted afterwards', t => {
  const system = new VirtualSystem(() => 0);
  const records = new ExpiringRecords(system, () => ({}));
  const kept = records.getRecord('kept');
  records.getRecord('dropped');
  for (let atMs = 5_000; atMs <= 30_000; atMs += 5_000) {
    system.runUntil(atMs);
    t.is(records.getRecord('kept'), kept);
  }
  t.is(records.getSize(), 1);
});
