/**
 * Translates the settings file that the platform passes to a process into the settings of a daemon.
 */
import {createHash} from 'node:crypto';
import {readFileSync} from 'node:fs';

import * as E from 'fp-ts/lib/Either.js';

import {getErrorText} from '@dottereldrift/core/errors.js';
import {formatUrl} from '@dottereldrift/core/member.js';
import {formatMessage} from '@dottereldrift/core/messages.js';
import type {Address, ServiceName} from '@dottereldrift/core/types.js';
import {type Settings, settingsSchema} from '@dottereldrift/daemon/settings.js';
import {checkText, checkValue} from '@dottereldrift/manifest/check.js';
import type {ValidationError} from '@dottereldrift/manifest/types.js';

import {settingsSchema as wireSchema, type WireSettings} from './wire.js';

/** Environment variable that holds the path of the settings file. */
export const SETTINGS_VARIABLE = 'DOTTERELDRIFT_BOOT';

/** Fraction of the drain time after an acknowledged departure during which the server still gets requests. */
const DRAIN_ADMISSION_SHARE = 0.75;

/**
 * Parameters for moving keys as their load changes. The busy keys change every few seconds, so most of a
 * change has to be detected within the first second. At about 50 requests per second, a rate measured over
 * 1.5 s is accurate to one part in twelve, so keys move only at deviations above twice that.
 */
const LOAD_PACE = {
  decayMs: 1_500,
  settleMs: 500,
  reportMs: 500,
  maxDeviation: 0.2,
  // The keys of a merged slice are unavailable until the next heartbeat, so slices are merged only when
  // their number is close to its maximum.
  mergeFactor: 2.5,
};
/** Servers read at most 4 KiB of a response; the rest is for the fields around the grant's rows. */
const MAX_GRANT_BYTES = 4_000;
const MS_PER_SECOND = 1_000;
const BITS_PER_MEGABIT = 1_000_000;

/** Settings of a daemon on the platform. */
export interface PlatformSettings {
  readonly daemon: Settings;
  /** Address for the requests of callers that use the platform's protocol. */
  readonly routedAddress: Address;
  readonly readyAddress: Address;
  /** The backend server on this host. */
  readonly serverAddress: Address;
  readonly service: ServiceName;
  /** Time from the stop signal to the end of the process, in milliseconds. */
  readonly graceMs: number;
  /** Retries allowed for the whole fleet. */
  readonly retryBudget: {
    readonly retriesPerRequest: number;
    readonly maxSaved: number;
  };
}

/** Reads and translates a settings file. */
export function readPlatformSettings(
  path: string,
): E.Either<readonly ValidationError[], PlatformSettings> {
  try {
    const checked = checkText(wireSchema, readFileSync(path, 'utf8'), path);
    return E.isLeft(checked) ? checked : translateSettings(checked.right);
  } catch (error) {
    const reason = formatMessage('DD1001', {path, reason: getErrorText(error)});
    return E.left([{path: '$', reason}]);
  }
}

function translateSettings(
  wire: WireSettings,
): E.Either<readonly ValidationError[], PlatformSettings> {
  const {listen, bounds} = wire;
  const [firstPort] = wire.port_range;
  const key = createFleetKey(wire);
  const daemon = checkValue(settingsSchema, {
    host: wire.node,
    dataCentre: wire.zone,
    region: wire.region,
    peerAddress: {ip: wire.ip, port: firstPort},
    callerAddress: {ip: wire.ip, port: firstPort + 1},
    operatorAddress: {ip: wire.ip, port: firstPort + 2},
    serverAddress: listen.control,
    storeUrl: formatUrl(wire.platform.address),
    peerKey: key,
    operatorKey: key,
    grants: 'answered',
    leavingAdmissionMs: Math.floor(bounds.drain_ms * DRAIN_ADMISSION_SHARE),
    maxHoldMs: bounds.hold_max_ms,
    maxGrantBytes: MAX_GRANT_BYTES,
    loadPace: LOAD_PACE,
    limits: createLimits(wire),
  });
  if (E.isLeft(daemon)) return daemon;
  return E.right({
    daemon: daemon.right,
    routedAddress: listen.outbound,
    readyAddress: listen.ready,
    serverAddress: wire.app_addr,
    service: wire.service,
    graceMs: bounds.grace_s * MS_PER_SECOND,
    retryBudget: {
      retriesPerRequest: bounds.budget_ratio,
      maxSaved: bounds.budget_slack,
    },
  });
}

function createLimits({limits}: WireSettings): Record<string, number> {
  if (limits.link_mbps === undefined) return {};
  return {linkBitsPerSecond: limits.link_mbps * BITS_PER_MEGABIT};
}

/**
 * Derives the peer key. The platform provides no secret, so the key only distinguishes the datagrams of
 * fleets that use the same addresses one after the other.
 */
function createFleetKey({platform, region}: WireSettings): string {
  const {ip, port} = platform.address;
  return createHash('sha256')
    .update(`${region} ${ip}:${port}`)
    .digest('base64url');
}
