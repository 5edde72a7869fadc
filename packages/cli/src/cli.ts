/**
 * Defines the commands and flags of the program. Exit codes: 0 success, 1 failure, 2 bad usage or bad
 * input.
 */
import {readFileSync, writeFileSync} from 'node:fs';

import * as E from 'fp-ts/lib/Either.js';
import sade from 'sade';

import {getErrorText} from '@dottereldrift/core/errors.js';
import {formatMessage} from '@dottereldrift/core/messages.js';
import {createDaemon, type Daemon} from '@dottereldrift/daemon/daemon.js';
import {readSettings} from '@dottereldrift/daemon/settings.js';
import {
  checkManifest,
  formatValidationError,
} from '@dottereldrift/manifest/check.js';
import type {
  ValidationError,
  ManifestStatus,
} from '@dottereldrift/manifest/types.js';
import {
  createPlatformDaemon,
  type PlatformDaemon,
} from '@dottereldrift/platform/host_platform.js';
import {
  readPlatformSettings,
  SETTINGS_VARIABLE,
} from '@dottereldrift/platform/settings.js';

import {
  type OperatorAnswer,
  OperatorClient,
  type OperatorFlags,
} from './operator_client.js';
import {formatReportPage} from './report_html.js';
import {formatConfigurations, formatReport, formatStatus} from './tables.js';

/** Version of the program. */
export const VERSION = '0.1.0';

/** Exit codes of the process. */
export const EXIT_DONE = 0;
export const EXIT_FAILED = 1;
export const EXIT_BAD_INPUT = 2;

/** Time to wait for the evaluation of a submitted manifest. */
const EVALUATION_TIMEOUT_MS = 10_000;
const EVALUATION_POLL_INTERVAL_MS = 100;

interface OutputFlags extends OperatorFlags {
  readonly json?: boolean;
}

interface ReportFlags extends OutputFlags {
  readonly html?: string;
}

interface ApplyFlags extends OperatorFlags {
  readonly 'if-version'?: number;
}

/** Runs the command given in the process arguments. */
export function runCli(args: readonly string[]): void {
  const program = sade('dottereldrift').version(VERSION);
  addDaemonCommands(program);
  addOperatorCommands(program);
  const usageError = findUsageError(args);
  if (usageError !== undefined) {
    failWith(EXIT_BAD_INPUT, formatMessage('DD1010', {reason: usageError}));
    return;
  }
  const parsed = program.parse([...args], {
    lazy: true,
    unknown: refuseUnknownFlag,
  });
  if (parsed === undefined) return;
  const {handler, args: handlerArgs} = parsed;
  void Promise.resolve()
    .then(() => handler(...handlerArgs) as unknown)
    .catch((error: unknown) => {
      failWith(EXIT_FAILED, getErrorText(error));
    });
}

/** Number of positional arguments of each command. */
const COMMAND_ARGUMENT_COUNTS: Readonly<Record<string, number>> = {
  daemon: 0,
  'platform-daemon': 0,
  check: 1,
  apply: 1,
  get: 0,
  status: 0,
  configurations: 0,
  explain: 2,
  drain: 1,
  fence: 1,
  report: 0,
};

/** Flags without a value; every other flag takes the next argument as its value. */
const BOOLEAN_FLAGS: ReadonlySet<string> = new Set([
  '--help',
  '-h',
  '--version',
  '-v',
  '--json',
  '--undo',
]);

/** Finds usage errors for which the argument parser would exit with a code other than 2. */
function findUsageError(args: readonly string[]): string | undefined {
  const words = args.slice(2);
  if (words.some(word => BOOLEAN_FLAGS.has(word) && /^--?[hv]/.test(word))) {
    return undefined;
  }
  const positionals = words.filter(
    (word, index) => !isFlag(word) && !isFlagValue(words, index),
  );
  const [command, ...rest] = positionals;
  if (command === undefined) return 'no command is given; try --help';
  if (!Object.hasOwn(COMMAND_ARGUMENT_COUNTS, command)) {
    return `unknown command ${command}`;
  }
  const expectedCount = COMMAND_ARGUMENT_COUNTS[command] ?? 0;
  if (rest.length === expectedCount) return undefined;
  return `${command} takes ${expectedCount} values, found ${rest.length}`;
}

function isFlag(word: string): boolean {
  return word.startsWith('-');
}

function isFlagValue(words: readonly string[], index: number): boolean {
  const previous = words[index - 1];
  if (previous === undefined || !isFlag(previous)) return false;
  return !BOOLEAN_FLAGS.has(previous) && !previous.includes('=');
}

function refuseUnknownFlag(flag: string): string {
  const reason = `unknown flag ${flag}`;
  failWith(EXIT_BAD_INPUT, formatMessage('DD1010', {reason}));
  process.exit(EXIT_BAD_INPUT);
}

function addDaemonCommands(program: sade.Sade): void {
  program
    .command('daemon')
    .describe('Run a daemon in the foreground.')
    .option('--settings', 'Settings file, JSON')
    .action((flags: {readonly settings?: string}) => runDaemon(flags.settings));
  program
    .command('platform-daemon')
    .describe(
      `Run a daemon by the settings file that ${SETTINGS_VARIABLE} names.`,
    )
    .action(() => runPlatformDaemon());
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
    printAnswer(flags, client => client.call('GET', '/manifest'), formatJson),
  );
  addOperatorCommand(program, 'status', 'Print the status of a daemon.').action(
    (flags: OutputFlags) =>
      printAnswer(flags, client => client.call('GET', '/status'), formatStatus),
  );
  addOperatorCommand(
    program,
    'configurations',
    'Print which configuration each daemon has in force, and since when.',
  ).action((flags: OutputFlags) =>
    printAnswer(
      flags,
      client => client.call('GET', '/configurations'),
      formatConfigurations,
    ),
  );
  addOperatorCommand(
    program,
    'explain <service> <key>',
    'Print who owns a key, and why.',
  ).action((service: string, key: string, flags: OutputFlags) => {
    const path = `/explain/${encodeURIComponent(service)}/${encodeURIComponent(String(key))}`;
    return printAnswer(flags, client => client.call('GET', path), formatJson);
  });
  addOperatorCommand(program, 'drain <host>', 'Move all work away from a host.')
    .option('--undo', 'Let the host take work again')
    .action((host: string, flags: OutputFlags & {readonly undo?: boolean}) => {
      const method = flags.undo === true ? 'DELETE' : 'POST';
      return printAnswer(
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
    printAnswer(
      flags,
      client => client.call('POST', `/fence/${host}`),
      formatJson,
    ),
  );
  addOperatorCommand(program, 'report', 'Print the burn of service levels.')
    .option('--html', 'HTML file for the report with plots')
    .action((flags: ReportFlags) =>
      printAnswer(
        flags,
        client => client.call('GET', '/report'),
        value => {
          if (flags.html !== undefined)
            writeFileSync(flags.html, formatReportPage(value));
          return formatReport(value);
        },
      ),
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

async function runPlatformDaemon(): Promise<void> {
  const path = process.env[SETTINGS_VARIABLE];
  if (path === undefined) {
    const reason = `the environment variable ${SETTINGS_VARIABLE} is not set`;
    failWith(EXIT_BAD_INPUT, formatMessage('DD1010', {reason}));
    return;
  }
  const settings = readPlatformSettings(path);
  if (E.isLeft(settings)) {
    printValidationErrors(path, settings.left);
    return;
  }
  const daemon = await createPlatformDaemon(path, settings.right);
  stopOnSignal(daemon);
  handleLibraryAssertions(daemon);
  process.on('SIGHUP', () => {
    daemon.reload();
  });
}

/**
 * Keeps the process running after a library assertion fails in a socket callback. The affected request
 * gets no response by its deadline, so its outcome is reported as unknown; exiting would interrupt all
 * other requests. Any other uncaught exception is logged and ends the process.
 */
function handleLibraryAssertions(daemon: PlatformDaemon): void {
  process.on('uncaughtException', error => {
    const {code} = error as {readonly code?: unknown};
    daemon.writeUnhandledError(error);
    if (code !== 'ERR_ASSERTION') process.exit(EXIT_FAILED);
  });
}

/** Stops the daemon on the first SIGTERM or SIGINT, and then exits. */
function stopOnSignal(daemon: Daemon): void {
  let isStopping = false;
  const stop = () => {
    if (isStopping) return;
    isStopping = true;
    void daemon.stop().then(() => process.exit(EXIT_DONE));
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
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
    printValidationErrors(path, settings.left);
    return;
  }
  stopOnSignal(await createDaemon(settings.right));
}

function checkFile(path: string): void {
  const text = tryReadFile(path);
  if (text === undefined) return;
  const isManifest = /"services"\s*:/.test(text);
  const checked: E.Either<readonly ValidationError[], unknown> = isManifest
    ? checkManifest(text)
    : readSettings(path);
  if (E.isLeft(checked)) printValidationErrors(path, checked.left);
  else process.stdout.write(`${formatMessage('DD1005', {path})}\n`);
}

async function applyManifest(path: string, flags: ApplyFlags): Promise<void> {
  const text = tryReadFile(path);
  if (text === undefined) return;
  const checked = checkManifest(text);
  if (E.isLeft(checked)) {
    printValidationErrors(path, checked.left);
    return;
  }
  const ifVersion = flags['if-version'];
  if (ifVersion !== undefined && !Number.isInteger(ifVersion)) {
    const reason = `--if-version takes a whole number, found ${ifVersion}`;
    failWith(EXIT_BAD_INPUT, formatMessage('DD1010', {reason}));
    return;
  }
  const client = OperatorClient.tryCreate(flags);
  if (E.isLeft(client)) {
    failWith(EXIT_BAD_INPUT, client.left);
    return;
  }
  const body = {text, ...(ifVersion === undefined ? {} : {ifVersion})};
  const submitted = await client.right.call('PUT', '/manifest', body);
  if (!submitted.isDone) {
    failWith(EXIT_FAILED, submitted.errorText);
    return;
  }
  const {version} = submitted.value as {readonly version: number};
  await printEvaluation(client.right, version);
}

/** Waits until the submitted manifest has been evaluated, and prints the result. */
async function printEvaluation(
  client: OperatorClient,
  version: number,
): Promise<void> {
  const endMs = Date.now() + EVALUATION_TIMEOUT_MS;
  while (Date.now() < endMs) {
    const answer = await client.call('GET', '/manifest');
    const {status} = answer.value as {readonly status?: ManifestStatus | null};
    if (answer.isDone && (status?.sourceVersion ?? 0) >= version) {
      printManifestStatus(status as ManifestStatus, version);
      return;
    }
    await new Promise(resolve =>
      setTimeout(resolve, EVALUATION_POLL_INTERVAL_MS),
    );
  }
  failWith(EXIT_FAILED, formatMessage('DD5008', {version}));
}

function printManifestStatus(status: ManifestStatus, version: number): void {
  if (status.sourceVersion > version) {
    failWith(
      EXIT_FAILED,
      formatMessage('DD5003', {
        expected: version,
        found: status.sourceVersion,
      }),
    );
    return;
  }
  if (status.isAccepted) {
    const {generation} = status;
    process.stdout.write(`${formatMessage('DD5001', {generation, version})}\n`);
    return;
  }
  const lines = status.faults.map(formatValidationError);
  const head = formatMessage('DD5002', {count: lines.length});
  failWith(EXIT_FAILED, [head, ...lines].join('\n'));
}

async function printAnswer(
  flags: OutputFlags,
  sendCall: (client: OperatorClient) => Promise<OperatorAnswer>,
  format: (value: unknown) => string,
): Promise<void> {
  const client = OperatorClient.tryCreate(flags);
  if (E.isLeft(client)) {
    failWith(EXIT_BAD_INPUT, client.left);
    return;
  }
  const answer = await sendCall(client.right);
  if (!answer.isDone) {
    failWith(EXIT_FAILED, answer.errorText);
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

function printValidationErrors(
  path: string,
  errors: readonly ValidationError[],
): void {
  const lines = errors.map(formatValidationError);
  failWith(
    EXIT_BAD_INPUT,
    [formatMessage('DD1004', {path, count: errors.length}), ...lines].join(
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
