/**
 * Tests the command line end to end: runs the bundle as a process and checks output and exit code.
 */
import {execFile} from 'node:child_process';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

import test from 'ava';

const BUNDLE = fileURLToPath(
  new URL('../../../../dist/dottereldrift.cjs', import.meta.url),
);
const DIRECTORY = mkdtempSync(join(tmpdir(), 'dottereldrift-cli-'));

interface CliRun {
  readonly exitCode: number;
  readonly output: string;
}

function runCommand(...args: readonly string[]): Promise<CliRun> {
  return new Promise(resolve => {
    execFile(
      process.execPath,
      [BUNDLE, ...args],
      (error, standardOutput, standardError) => {
        const exitCode = error === null ? 0 : Number(error.code);
        const output = `${standardOutput}${standardError}`.replaceAll(
          DIRECTORY,
          'DIRECTORY',
        );
        resolve({exitCode, output});
      },
    );
  });
}

function writeFile(name: string, value: unknown): string {
  const path = join(DIRECTORY, name);
  writeFileSync(
    path,
    typeof value === 'string' ? value : JSON.stringify(value),
  );
  return path;
}

const SETTINGS = {
  host: 'menu-1',
  dataCentre: 'sj1',
  region: 'central-valley',
  callerAddress: {ip: '127.0.0.1', port: 7101},
  peerAddress: {ip: '127.0.0.1', port: 7102},
  serverAddress: {ip: '127.0.0.1', port: 7103},
  operatorAddress: {ip: '127.0.0.1', port: 7104},
  storeUrl: 'http://127.0.0.1:7100',
  peerKey: '0123456789abcdef',
  operatorKey: '0123456789abcdef',
};

test('bad usage ends with code 2 and says what is wrong', async t => {
  const commands = [
    [],
    ['bogus'],
    ['check'],
    ['explain', 'menu'],
    ['status', '--frob'],
    ['status'],
    ['apply', 'a.json', '--if-version', 'x', '--daemon', '127.0.0.1:1'],
    ['daemon'],
  ];
  writeFile('a.json', {services: {}});
  const runs: unknown[] = [];
  for (const command of commands) {
    const words = command.map(word =>
      word === 'a.json' ? join(DIRECTORY, word) : word,
    );
    const run = await runCommand(...words);
    runs.push({command, ...run});
    t.is(run.exitCode, 2, command.join(' '));
  }
  t.snapshot(runs);
});

test('version and help end with code 0', async t => {
  t.snapshot(await runCommand('--version'));
  t.snapshot(await runCommand('--help'));
});

test('all faults of a settings file are told at once', async t => {
  const path = writeFile('settings.json', {
    ...SETTINGS,
    host: 'a host',
    callerAddress: {ip: 'localhost', port: 0},
    storeUrl: 'ftp://store',
    peerKey: 'short',
    limits: {bodyBytes: '64 MB', headerMillis: 5},
  });
  const run = await runCommand('check', path);
  t.is(run.exitCode, 2);
  t.snapshot(run.output);
});

test('a good settings file and a good manifest pass the check', async t => {
  const settings = await runCommand('check', writeFile('good.json', SETTINGS));
  const manifest = await runCommand(
    'check',
    writeFile('manifest.json', {
      services: {
        menu: {
          division: 'byKey',
          kinds: [{name: 'read', idempotent: true, deadlineMs: 500}],
        },
      },
    }),
  );
  t.is(settings.exitCode, 0);
  t.is(manifest.exitCode, 0);
  t.snapshot([settings.output, manifest.output]);
});

test('a missing file and a text that is not JSON end with code 2', async t => {
  const missing = await runCommand('check', join(DIRECTORY, 'none.json'));
  const broken = await runCommand('check', writeFile('broken.json', '{"a":'));
  t.is(missing.exitCode, 2);
  t.is(broken.exitCode, 2);
  t.snapshot([missing.output, broken.output]);
});

test('a daemon that cannot be reached ends with code 1', async t => {
  const keyFile = writeFile('key', '0123456789abcdef');
  const run = await runCommand(
    'status',
    '--daemon',
    '127.0.0.1:1',
    '--key-file',
    keyFile,
  );
  t.is(run.exitCode, 1);
  t.snapshot(run.output);
});
