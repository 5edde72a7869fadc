/**
 * Creates a daemon with the platform's adapters and reloads its settings file when it changes.
 */
import {statSync} from 'node:fs';

import type {FastifyInstance} from 'fastify';
import * as E from 'fp-ts/lib/Either.js';

import {createLog, type Log} from '@dottereldrift/core/log.js';
import {createNodeSystem} from '@dottereldrift/core/system.js';
import {TextMetrics} from '@dottereldrift/core/text_metrics.js';
import {
  createDaemonOnPlatform,
  type Daemon,
} from '@dottereldrift/daemon/daemon.js';
import type {HostPlatform} from '@dottereldrift/daemon/host_platform.js';
import type {ServerRegistry} from '@dottereldrift/daemon/server_registry.js';
import {formatValidationError} from '@dottereldrift/manifest/check.js';
import {CallBudget} from '@dottereldrift/store/call_budget.js';

import {PlatformProtocol} from './callers.js';
import {addHeartbeatRoutes} from './heartbeats.js';
import {type PlatformSettings, readPlatformSettings} from './settings.js';
import {PlatformStore} from './store.js';

const SETTINGS_CHECK_INTERVAL_MS = 1_000;

/** A daemon that runs on the platform. */
export interface PlatformDaemon extends Daemon {
  /** Reloads the settings file. */
  reload(): void;
  /** Logs an unhandled error. */
  writeUnhandledError(error: Error): void;
}

/** Creates and starts a daemon on the platform. Rejects if an address is already in use. */
export async function createPlatformDaemon(
  path: string,
  settings: PlatformSettings,
): Promise<PlatformDaemon> {
  const {format, level} = settings.daemon.log;
  const system = createNodeSystem();
  const log = createLog('platform', format, level);
  const source = new SettingsSource(path, settings, log);
  const {storeCallsPerSecond, storeCallsBurst} = settings.daemon.limits;
  const budget = new CallBudget(system, storeCallsPerSecond, storeCallsBurst);
  const store = new PlatformStore(source.getStoreAddress(), budget, log);
  const daemon = await createDaemonOnPlatform(
    settings.daemon,
    createHostPlatform(source, store, log),
  );
  const timer = setInterval(
    () => source.reloadIfModified(),
    SETTINGS_CHECK_INTERVAL_MS,
  );
  return {
    stop: async () => {
      clearInterval(timer);
      await daemon.stop();
    },
    reload: () => source.reload(),
    writeUnhandledError: error => {
      log.writeError('Unhandled error.', {
        reason: error.message,
        stack: error.stack ?? '',
      });
    },
  };
}

function createHostPlatform(
  source: SettingsSource,
  store: PlatformStore,
  log: Log,
): HostPlatform {
  const {routedAddress, readyAddress, graceMs, retryBudget} = source.get();
  return {
    protocol: new PlatformProtocol(),
    metrics: new TextMetrics(),
    store,
    configuration: store,
    routedAddress,
    readyAddress,
    graceMs,
    retryBudget,
    getOrigin: () => source.get().service,
    addServerRoutes: (app: FastifyInstance, registry: ServerRegistry) => {
      const getExpected = () => {
        const {service, serverAddress} = source.get();
        return {service, address: serverAddress};
      };
      addHeartbeatRoutes(app, getExpected, registry, log);
    },
    close: () => store.close(),
  };
}

/** Holds the current settings and reloads them when their file changes. */
class SettingsSource {
  private modifiedAtMs = 0;

  constructor(
    private readonly path: string,
    private settings: PlatformSettings,
    private readonly log: Log,
  ) {
    this.modifiedAtMs = this.readModificationTime();
  }

  get(): PlatformSettings {
    return this.settings;
  }

  getStoreAddress() {
    const url = new URL(this.settings.daemon.storeUrl);
    return {ip: url.hostname, port: Number(url.port)};
  }

  /** Reloads the file if it was modified. Not every modification is announced by a signal. */
  reloadIfModified(): void {
    const modifiedAtMs = this.readModificationTime();
    if (modifiedAtMs === this.modifiedAtMs) return;
    this.modifiedAtMs = modifiedAtMs;
    this.reload();
  }

  reload(): void {
    const read = readPlatformSettings(this.path);
    if (E.isLeft(read)) {
      this.log.writeError(
        'Cannot read the settings file; the current settings remain in effect.',
        {
          faults: read.left.map(formatValidationError).join('; '),
        },
      );
      return;
    }
    this.settings = read.right;
    this.log.writeInfo('The settings were reloaded.', {
      service: read.right.service,
    });
  }

  private readModificationTime(): number {
    try {
      return statSync(this.path).mtimeMs;
    } catch (error) {
      this.log.writeWarning(
        'Cannot get the modification time of the settings file.',
        {
          reason: String(error),
        },
      );
      return this.modifiedAtMs;
    }
  }
}
