/**
 * Puts the adapters of the platform together for a daemon, and follows its settings file.
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

const CHECK_SETTINGS_MS = 1_000;

/** A daemon on the platform. */
export interface PlatformDaemon extends Daemon {
  /** Reads the settings file again. */
  reload(): void;
  /** Writes an error that no part of the program has handled to the log. */
  writeDefect(error: Error): void;
}

/** Creates and starts a daemon on the platform; rejects when an address is taken. */
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
  const timer = setInterval(() => source.checkFile(), CHECK_SETTINGS_MS);
  return {
    stop: async () => {
      clearInterval(timer);
      await daemon.stop();
    },
    reload: () => source.reload(),
    writeDefect: error => {
      log.writeError('An error was not handled by any part.', {
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

/** The settings in force, read again when their file changes. */
class SettingsSource {
  private changedAtMs = 0;

  constructor(
    private readonly path: string,
    private settings: PlatformSettings,
    private readonly log: Log,
  ) {
    this.changedAtMs = this.readChangeTime();
  }

  get(): PlatformSettings {
    return this.settings;
  }

  getStoreAddress() {
    const url = new URL(this.settings.daemon.storeUrl);
    return {ip: url.hostname, port: Number(url.port)};
  }

  /** Reads the file again if it has changed; not every change comes with a signal. */
  checkFile(): void {
    const changedAtMs = this.readChangeTime();
    if (changedAtMs === this.changedAtMs) return;
    this.changedAtMs = changedAtMs;
    this.reload();
  }

  reload(): void {
    const read = readPlatformSettings(this.path);
    if (E.isLeft(read)) {
      this.log.writeError(
        'The settings cannot be read; the present ones stay.',
        {
          faults: read.left.map(formatValidationError).join('; '),
        },
      );
      return;
    }
    this.settings = read.right;
    this.log.writeInfo('The settings were read again.', {
      service: read.right.service,
    });
  }

  private readChangeTime(): number {
    try {
      return statSync(this.path).mtimeMs;
    } catch (error) {
      this.log.writeWarning('The settings file cannot be looked at.', {
        reason: String(error),
      });
      return this.changedAtMs;
    }
  }
}
