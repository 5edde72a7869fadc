/**
 * Checks that the table in docs/PROMISES.md matches the scenarios: their names, the promises that they check and the
 * environments in which they run.
 */
import {readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';

import test from 'ava';

import {readScripts} from '../src/parse_script.js';
import {FAILURES, getColumn, PROMISES} from '../src/script.js';

const PAGE = fileURLToPath(
  new URL('../../../../docs/PROMISES.md', import.meta.url),
);

/** One row of the table: promise, failure, scenario, environments, result. */
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
    .filter(range => range.length === COLUMNS);
}

test('the table of proofs matches the scenarios', t => {
  const expected = readScripts().flatMap(script =>
    script.promises.map(promise => [
      promise,
      getColumn(script) ?? '',
      script.name,
      script.isForProcesses ? 'virtual, processes' : 'virtual',
    ]),
  );
  const shown = readRows()
    .filter(range => range[2] !== '')
    .map(range => range.slice(0, 4));
  const sort = (rows: readonly Row[]) =>
    rows.map(range => range.join(' | ')).sort();
  t.deepEqual(sort(shown), sort(expected));
});

test('every promise has a row for every failure', t => {
  const rows = readRows();
  const missing = PROMISES.flatMap(promise =>
    FAILURES.filter(
      failure =>
        !rows.some(range => range[0] === promise && range[1] === failure),
    ).map(failure => `${promise}: ${failure}`),
  );
  t.deepEqual(missing, []);
});

test('every result is passed, listed in KNOWN-RED.txt or not proved', t => {
  const results = new Set(readRows().map(range => range[4]));
  const allowed = ['passed', 'KNOWN-RED', 'not proved'];
  t.deepEqual(
    [...results].filter(result => !allowed.includes(result ?? '')),
    [],
  );
});
