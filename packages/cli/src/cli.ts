/**
 * Commands and their flags. Exit codes: 0 done, 1 failed, 2 bad usage or bad input.
 */
import {readFileSync} from 'node:fs';

import * as E from 'fp-ts/lib/Either.js';
import sade from 'sade';

import {getErrorText} from '@dottereldrift/core/errors.js';
import {formatMessage} from '@dottereldrift/core/messages.js';
import {createDaemon} from '@dottereldrift/daemon/daemon.js';
import {readSettings} from '@dottereldrift/daemon/settings.js';
import {checkManifest, formatFault} from '@dottereldrift/manifest/check.js';
import type {Fault} from '@dottereldrift/manifest/types.js';

import {
  type OperatorAnswer,
  OperatorClient,
  type OperatorFlags,
} from './operator_client.js';
import {formatReport, formatStatus} from './tables.js';

/** Version of the program. */
export const VERSION = '0.1.0';

/** Exit codes. */
export const EXIT_DONE = 0;
export const EXIT_FAILED = 1;
export const EXIT_BAD_INPUT = 2;

interface OutputFlags extends OperatorFlags {
  readonly json?: boolean;
}

interface ApplyFlags extends OperatorFlags {
  readonly 'if-version'?: number;
}

/** Runs the command that the arguments name. */
export function runCli(args: readonly string[]): void {
  const program = sade('dottereldrift').version(VERSION);
  addDaemonCommands(program);
  addOperatorCommands(program);
  const parsed = program.parse([...args], {lazy: true, unknown: refuseFlag});
  if (parsed === undefined) return;
  const {handler, args: values} = parsed;
  void Promise.resolve()
    .then(() => handler(...values) as unknown)
    .catch((error: unknown) => {
      process.stderr.write(`${getErrorText(error)}\n`);
      process.exitCode = EXIT_FAILED;
    });
}

function refuseFlag(flag: string): string {
  process.exitCode = EXIT_BAD_INPUT;
  process.stderr.write(`${formatMessage('DD1010', {reason: flag})}\n`);
  process.exit(EXIT_BAD_INPUT);
}

function addDaemonCommands(program: sade.Sade): void {
  program
    .command('daemon')
    .describe('Run a daemon in the foreground.')
    .option('--settings', 'Settings file, JSON')
    .action((flags: {readonly settings?: string}) => runDaemon(flags.settings));
  program
    .command('check <file>')
    .describe('Check a settings file or a manifest.')
    .action((file: string) => {
      checkFile(file);
    });
}

function addOperatorCommands(program: sade.Sade): void {
  addOperatorCommand(program, 'apply <manifest>', 'Submit a manifest.')
    .option('--if-version', 'Version that the submitted manifest must have')
    .action((file: string, flags: ApplyFlags) => applyManifest(file, flags));
  addOperatorCommand(
    program,
    'get',
    'Print the manifest in force and its status.',
  ).action((flags: OutputFlags) =>
    print(flags, client => client.call('GET', '/manifest'), formatJson),
  );
  addOperatorCommand(program, 'status', 'Print the status of a daemon.').action(
    (flags: OutputFlags) =>
      print(flags, client => client.call('GET', '/status'), formatStatus),
  );
  addOperatorCommand(
    program,
    'explain <service> <key>',
    'Print who owns a key, and why.',
  ).action((service: string, key: string, flags: OutputFlags) => {
    const path = `/explain/${encodeURIComponent(service)}/${encodeURIComponent(String(key))}`;
    return print(flags, client => client.call('GET', path), formatJson);
  });
  addOperatorCommand(program, 'drain <host>', 'Move all work away from a host.')
    .option('--undo', 'Let the host take work again')
    .action((host: string, flags: OutputFlags & {readonly undo?: boolean}) => {
      const method = flags.undo === true ? 'DELETE' : 'POST';
      return print(
        flags,
        client => client.call(method, `/drain/${host}`),
        formatJson,
      );
    });
  addOperatorCommand(
    program,
    'fence <host>',
    'End a host that you vouch is switched off.',
  ).action((host: string, flags: OutputFlags) =>
    print(flags, client => client.call('POST', `/fence/${host}`), formatJson),
  );
  addOperatorCommand(
    program,
    'report',
    'Print the burn of service levels.',
  ).action((flags: OutputFlags) =>
    print(flags, client => client.call('GET', '/report'), formatReport),
  );
}

function addOperatorCommand(
  program: sade.Sade,
  usage: string,
  description: string,
): sade.Sade {
  return program
    .command(usage)
    .describe(description)
    .option('--settings', 'Settings file of the daemon to ask')
    .option('--daemon', 'Operator address of the daemon to ask, IP:PORT')
    .option('--key-file', 'File that holds the operator key')
    .option('--json', 'Print JSON');
}

async function runDaemon(path: string | undefined): Promise<void> {
  if (path === undefined) {
    failWith(
      EXIT_BAD_INPUT,
      formatMessage('DD1010', {reason: '--settings FILE is missing'}),
    );
    return;
  }
  const settings = readSettings(path);
  if (E.isLeft(settings)) {
    printFaults(path, settings.left);
    return;
  }
  const daemon = await createDaemon(settings.right);
  let isStopping = false;
  const stop = () => {
    if (isStopping) return;
    isStopping = true;
    void daemon.stop().then(() => process.exit(EXIT_DONE));
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
}

function checkFile(path: string): void {
  const text = tryReadFile(path);
  if (text === undefined) return;
  const isManifest = /"services"\s*:/.test(text);
  const checked: E.Either<readonly Fault[], unknown> = isManifest
    ? checkManifest(text)
    : readSettings(path);
  if (E.isLeft(checked)) printFaults(path, checked.left);
  else process.stdout.write(`${formatMessage('DD1005', {path})}\n`);
}

async function applyManifest(path: string, flags: ApplyFlags): Promise<void> {
  const text = tryReadFile(path);
  if (text === undefined) return;
  const checked = checkManifest(text);
  if (E.isLeft(checked)) {
    printFaults(path, checked.left);
    return;
  }
  const ifVersion = flags['if-version'];
  const body = {
    text,
    ...(ifVersion === undefined ? {} : {ifVersion: Number(ifVersion)}),
  };
  await print(
    flags,
    client => client.call('PUT', '/manifest', body),
    formatJson,
  );
}

async function print(
  flags: OutputFlags,
  ask: (client: OperatorClient) => Promise<OperatorAnswer>,
  format: (value: unknown) => string,
): Promise<void> {
  const client = OperatorClient.tryCreate(flags);
  if (E.isLeft(client)) {
    failWith(EXIT_BAD_INPUT, client.left);
    return;
  }
  const answer = await ask(client.right);
  if (!answer.isDone) {
    failWith(EXIT_FAILED, answer.text);
    return;
  }
  const text =
    flags.json === true ? formatJson(answer.value) : format(answer.value);
  process.stdout.write(`${text}\n`);
}

function tryReadFile(path: string): string | undefined {
  try {
    return readFileSync(path, 'utf8');
  } catch (error) {
    failWith(
      EXIT_BAD_INPUT,
      formatMessage('DD1001', {path, reason: getErrorText(error)}),
    );
    return undefined;
  }
}

function printFaults(path: string, faults: readonly Fault[]): void {
  const lines = faults.map(formatFault);
  failWith(
    EXIT_BAD_INPUT,
    [formatMessage('DD1004', {path, count: faults.length}), ...lines].join(
      '\n',
    ),
  );
}

function failWith(exitCode: number, text: string): void {
  process.stderr.write(`${text}\n`);
  process.exitCode = exitCode;
}

function formatJson(value: unknown): string {
  return JSON.stringify(value, undefined, 2);
}
