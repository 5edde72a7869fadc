/**
 * Manages the working directory of a fleet run, which is removed at the end. If the environment variable
 * `TEST_LOGS` names a directory, runs use it as their parent directory, and those that fail are kept there
 * with the output of all processes.
 */
import {mkdirSync, mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

/** Environment variable with the parent directory for the directories of failed runs. */
const LOGS_DIRECTORY_VARIABLE = 'TEST_LOGS';

/** Runs a function with a new directory; the run counts as failed unless the function resolves to true. */
export async function runInDirectory(
  name: string,
  run: (directory: string) => Promise<boolean>,
): Promise<void> {
  const logsDirectory = process.env[LOGS_DIRECTORY_VARIABLE] ?? '';
  if (logsDirectory !== '') mkdirSync(logsDirectory, {recursive: true});
  const parent = logsDirectory === '' ? tmpdir() : logsDirectory;
  const directory = mkdtempSync(join(parent, `dottereldrift-${name}-`));
  let hasPassed = false;
  try {
    hasPassed = await run(directory);
  } finally {
    if (hasPassed || logsDirectory === '')
      rmSync(directory, {recursive: true, force: true});
  }
}
