/**
 * The settings of a daemon, read from a JSON file.
 */
import {readFileSync} from 'node:fs';

import * as E from 'fp-ts/lib/Either.js';
import * as z from 'zod';

import {getErrorText} from '@dottereldrift/core/errors.js';
import {formatMessage} from '@dottereldrift/core/messages.js';
import {checkText} from '@dottereldrift/manifest/check.js';
import type {ValidationError} from '@dottereldrift/manifest/types.js';
import {MAX_DEVIATION} from '@dottereldrift/ownership/move_plan.js';

const MIN_KEY_LENGTH = 16;
const MAX_PORT = 65_535;
const MAX_LEAVING_MS = 600_000;
/** Users require 3 s in total; the difference is left for running requests. */
const DEFAULT_LEAVING_ADMISSION_MS = 2_500;
const KIBIBYTE = 1_024;
const MEBIBYTE = 1_024 * KIBIBYTE;

const nameSchema = z
  .string()
  .regex(
    /^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$/,
    'allowed are letters, digits, ., _ and -',
  );

const addressSchema = z.strictObject({
  ip: z.union([z.ipv4(), z.ipv6()], 'allowed is an IP number'),
  port: z.number().int().min(1).max(MAX_PORT),
});

const limitsSchema = z.strictObject({
  bufferedBodyBytes: z
    .number()
    .int()
    .min(0)
    .max(MEBIBYTE)
    .default(64 * KIBIBYTE),
  bodyBytes: z
    .number()
    .int()
    .min(KIBIBYTE)
    .max(1_024 * MEBIBYTE)
    .default(64 * MEBIBYTE),
  headerBytes: z
    .number()
    .int()
    .min(KIBIBYTE)
    .max(64 * KIBIBYTE)
    .default(16 * KIBIBYTE),
  callerConnections: z.number().int().min(1).max(100_000).default(10_000),
  /** Bandwidth of the host's link in bits per second; responses are not paced if it is absent. */
  linkBitsPerSecond: z.number().positive().optional(),
  storeCallsPerSecond: z.number().min(1).max(1_000).default(20),
  storeCallsBurst: z.number().int().min(1).max(1_000).default(60),
  idempotencyEntries: z.number().int().min(1).max(10_000_000).default(200_000),
  idempotencyBytes: z
    .number()
    .int()
    .min(KIBIBYTE)
    .default(64 * MEBIBYTE),
  idempotencyRetentionMs: z
    .number()
    .int()
    .min(1_000)
    .max(86_400_000)
    .default(600_000),
  keptAnswerBytes: z
    .number()
    .int()
    .min(0)
    .max(MEBIBYTE)
    .default(16 * KIBIBYTE),
  slotPolicy: z.enum(['adaptive', 'fifo']).default('adaptive'),
  queuedBytes: z
    .number()
    .int()
    .min(KIBIBYTE)
    .default(16 * MEBIBYTE),
});

/** Schema of the settings. */
export const settingsSchema = z.strictObject({
  host: nameSchema,
  dataCentre: nameSchema,
  region: nameSchema,
  callerAddress: addressSchema,
  peerAddress: addressSchema,
  /** Address at which other daemons reach the peer address, if it is translated on the network path. */
  advertisedPeerAddress: addressSchema.optional(),
  serverAddress: addressSchema,
  operatorAddress: addressSchema,
  storeUrl: z.url({
    protocol: /^http$/,
    error: 'allowed is a URL that begins with http://',
  }),
  peers: z.array(addressSchema).max(64).default([]),
  /** Whether this daemon follows a relay instead of the store itself. */
  relayed: z.boolean().default(true),
  peerKey: z.string().min(MIN_KEY_LENGTH),
  operatorKey: z.string().min(MIN_KEY_LENGTH),
  statsdAddress: addressSchema.optional(),
  /** How grants reach backend servers: pushed, or in the responses to their heartbeats. */
  grants: z.enum(['pushed', 'answered']).default('pushed'),
  /** Time after which a leaving host or backend server gets no new requests, in milliseconds. */
  leavingAdmissionMs: z
    .number()
    .int()
    .min(0)
    .max(MAX_LEAVING_MS)
    .default(DEFAULT_LEAVING_ADMISSION_MS),
  /** Maximum duration of a grant sent in a heartbeat response, in milliseconds. */
  maxHoldMs: z.number().int().min(1).max(MAX_LEAVING_MS).default(10_000),
  /** Maximum size of the rows of a grant in one heartbeat response. */
  maxGrantBytes: z
    .number()
    .int()
    .min(KIBIBYTE)
    .max(MEBIBYTE)
    .default(64 * KIBIBYTE),
  /** How fast placement follows the load; times in milliseconds. */
  loadPace: z
    .strictObject({
      /** Time constant of the exponential decay of request rates. */
      decayMs: z.number().int().min(100).max(600_000).default(20_000),
      /** Time for which a slice is observed before its rate is used. */
      settleMs: z.number().int().min(0).max(600_000).default(5_000),
      /** Minimum interval between two reports of an owner. */
      reportMs: z.number().int().min(100).max(600_000).default(2_000),
      /** Fraction by which an owner's load may deviate from its share before keys are moved. */
      maxDeviation: z.number().min(0.01).max(10).default(MAX_DEVIATION),
      /** Cold slices are merged above this multiple of the number of slices that the servers need. */
      mergeFactor: z.number().min(1).max(100).default(1),
    })
    .prefault({}),
  log: z
    .strictObject({
      format: z.enum(['json', 'pretty', 'hidden']).default('json'),
      level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
    })
    .prefault({}),
  limits: limitsSchema.prefault({}),
});

/** Settings of a daemon. */
export type Settings = Readonly<z.infer<typeof settingsSchema>>;

/** Configured limits. */
export type Limits = Settings['limits'];

/** Reads and validates a settings file. */
export function readSettings(
  path: string,
): E.Either<readonly ValidationError[], Settings> {
  try {
    return checkText(settingsSchema, readFileSync(path, 'utf8'), path);
  } catch (error) {
    const reason = formatMessage('DD1001', {path, reason: getErrorText(error)});
    return E.left([{path: '$', reason}]);
  }
}
