/**
 * docs/PROMISES.md names scenarios that exist, that check what it says, and that run where it says.
 */
import {readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';

import test from 'ava';

import {readScripts} from '../src/parse_script.js';
import {FAILURES, getColumn, PROMISES} from '../src/script.js';

const PAGE = fileURLToPath(
  new URL('../../../../docs/PROMISES.md', import.meta.url),
);

/** One row of the table: promise, failure, scenario, where, result. */
type Row = readonly string[];

const COLUMNS = 5;

function readRows(): readonly Row[] {
  const text = readFileSync(PAGE, 'utf8');
  return text
    .split('\n')
    .filter(line => PROMISES.some(name => line.startsWith(`| ${name} |`)))
    .map(line =>
      line
        .split('|')
        .slice(1, -1)
        .map(cell => cell.trim()),
    )
    .filter(row => row.length === COLUMNS);
}

test('the table of proofs says what the scenarios are', t => {
  const expected = readScripts().flatMap(script =>
    script.promises.map(promise => [
      promise,
      getColumn(script) ?? '',
      script.name,
      script.isForProcesses ? 'virtual, processes' : 'virtual',
    ]),
  );
  const shown = readRows()
    .filter(row => row[2] !== '')
    .map(row => row.slice(0, 4));
  const sort = (rows: readonly Row[]) =>
    rows.map(row => row.join(' | ')).sort();
  t.deepEqual(sort(shown), sort(expected));
});

test('every promise has a row for every failure', t => {
  const rows = readRows();
  const missing = PROMISES.flatMap(promise =>
    FAILURES.filter(
      failure => !rows.some(row => row[0] === promise && row[1] === failure),
    ).map(failure => `${promise}: ${failure}`),
  );
  t.deepEqual(missing, []);
});

test('what is not passed is listed in KNOWN-RED.txt or not proved', t => {
  const results = new Set(readRows().map(row => row[4]));
  const allowed = ['passed', 'KNOWN-RED', 'not proved'];
  t.deepEqual(
    [...results].filter(result => !allowed.includes(result ?? '')),
    [],
  );
});
