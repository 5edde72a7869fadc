/**
 * Tests the tables that operators read.
 */
import test from 'ava';

import {formatConfigurations} from '../src/tables.js';

const CURRENT = {generation: 12, inForceMs: 65_000, storeSilenceMs: 250};

function createRow(host: string, state: typeof CURRENT | undefined) {
  return {
    host,
    dataCentre: 'valle-a',
    state,
    reason: state === undefined ? 'timed out' : '',
  };
}

test('a fleet that agrees is told in the first line', t => {
  const rows = ['a', 'b'].map(host => createRow(host, CURRENT));
  t.snapshot(formatConfigurations(rows));
});

test('daemons that differ or do not answer come first', t => {
  const rows = [
    createRow('a', CURRENT),
    createRow('b', {...CURRENT, generation: 11}),
    createRow('c', undefined),
    // JSON has null for the infinite times of a daemon without a configuration.
    createRow('d', {
      generation: 0,
      inForceMs: null as unknown as number,
      storeSilenceMs: null as unknown as number,
    }),
  ];
  t.snapshot(formatConfigurations(rows));
});
