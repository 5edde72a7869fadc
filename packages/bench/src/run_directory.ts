/**
 * The directory of one run of a fleet. It is removed at the end; where the environment variable
 * `TEST_LOGS` names a directory, that of a failed run is kept there, with what every process wrote.
 */
import {mkdirSync, mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

/** Name of the variable that names the place for the directories of failed runs. */
const KEPT_LOGS_VARIABLE = 'TEST_LOGS';

/** Runs a function in a directory of its own; the run has failed unless it resolves to true. */
export async function runInDirectory(
  name: string,
  run: (directory: string) => Promise<boolean>,
): Promise<void> {
  const kept = process.env[KEPT_LOGS_VARIABLE] ?? '';
  if (kept !== '') mkdirSync(kept, {recursive: true});
  const parent = kept === '' ? tmpdir() : kept;
  const directory = mkdtempSync(join(parent, `dottereldrift-${name}-`));
  let isPassed = false;
  try {
    isPassed = await run(directory);
  } finally {
    if (isPassed || kept === '')
      rmSync(directory, {recursive: true, force: true});
  }
}
