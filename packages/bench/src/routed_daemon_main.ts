/**
 * Runs a daemon that serves callers by host and path on a minimal platform, with the same limits as the
 * daemon with which it is compared. `routed_daemon_main.js daemon --settings FILE`.
 */
import * as E from 'fp-ts/lib/Either.js';
import * as TE from 'fp-ts/lib/TaskEither.js';
import sade from 'sade';

import {createNodeSystem, waitFor} from '@dottereldrift/core/system.js';
import {TextMetrics} from '@dottereldrift/core/text_metrics.js';
import type {CallerProtocol} from '@dottereldrift/daemon/caller_protocol.js';
import type {ConfigurationSource} from '@dottereldrift/daemon/configuration_follower.js';
import {createDaemonOnPlatform} from '@dottereldrift/daemon/daemon.js';
import {getHeader} from '@dottereldrift/daemon/headers.js';
import {addServerRoutes} from '@dottereldrift/daemon/server_listener.js';
import {readSettings, type Settings} from '@dottereldrift/daemon/settings.js';
import {CallBudget} from '@dottereldrift/store/call_budget.js';
import {HttpStore} from '@dottereldrift/store/http_store.js';

import {KEY_HEADER, ROUTED_PORT} from './routed_names.js';

const READY_PORT = 7106;
const GRACE_MS = 6_000;
const RETRY_BUDGET = {retriesPerRequest: 0.2, maxSaved: 60};
const NO_CONFIGURATION = {revision: 0, accepted: undefined};

const system = createNodeSystem();

const protocol: CallerProtocol = {
  parseRequest: headers => ({
    requestId: getHeader(headers, 'request-id') ?? '',
    deadlineMs: undefined,
    key: getHeader(headers, KEY_HEADER),
  }),
  createServerHeaders: ({origin, remainingMs}) => ({
    caller: origin,
    'deadline-ms': String(remainingMs),
  }),
  isServerRefusal: () => false,
  isIdentified: () => true,
  isForeignAnswer: () => false,
  createProblemHead: ({status}) => ({status, headers: {}}),
};

/** Never provides a configuration; the manifest is submitted through the operator API instead. */
const configuration: ConfigurationSource = {
  readConfiguration: () => TE.right(NO_CONFIGURATION),
  watchConfiguration: (_afterRevision, waitMs) => async () => {
    await waitFor(system, waitMs);
    return E.right(NO_CONFIGURATION);
  },
};

sade('routed-daemon')
  .command('daemon')
  .option('--settings', 'Path of the settings file')
  .action((flags: {readonly settings: string}) => runDaemon(flags.settings))
  .parse(process.argv);

async function runDaemon(path: string): Promise<void> {
  const read = readSettings(path);
  if (E.isLeft(read)) throw new Error(JSON.stringify(read.left));
  const settings = read.right;
  const store = createStore(settings);
  const {ip} = settings.callerAddress;
  await createDaemonOnPlatform(settings, {
    protocol,
    store,
    configuration,
    routedAddress: {ip, port: ROUTED_PORT},
    readyAddress: {ip, port: READY_PORT},
    graceMs: GRACE_MS,
    metrics: new TextMetrics(),
    retryBudget: RETRY_BUDGET,
    getOrigin: () => 'menu',
    addServerRoutes: (app, registry) => {
      addServerRoutes(app, ip, registry);
    },
    close: () => store.close(),
  });
}

function createStore({storeUrl, limits}: Settings): HttpStore {
  const {storeCallsPerSecond, storeCallsBurst} = limits;
  const budget = new CallBudget(system, storeCallsPerSecond, storeCallsBurst);
  return new HttpStore(storeUrl, system, budget);
}
