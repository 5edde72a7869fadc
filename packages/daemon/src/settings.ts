/**
 * The settings of a daemon, read from a JSON file.
 */
import {readFileSync} from 'node:fs';

import * as E from 'fp-ts/lib/Either.js';
import {z} from 'zod';

import {getErrorText} from '@dottereldrift/core/errors.js';
import {formatMessage} from '@dottereldrift/core/messages.js';
import {checkText} from '@dottereldrift/manifest/check.js';
import type {ValidationError} from '@dottereldrift/manifest/types.js';
import {MAX_DEVIATION} from '@dottereldrift/ownership/move_plan.js';

const MIN_KEY_LENGTH = 16;
const MAX_PORT = 65_535;
const MAX_LEAVING_MS = 600_000;
/** What the users ask for is 3 s; the rest is for requests under way. */
const DEFAULT_LEAVING_MS = 2_500;
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
  /** Where others reach the peer address, if it is translated on the way. */
  advertisedPeerAddress: addressSchema.optional(),
  serverAddress: addressSchema,
  operatorAddress: addressSchema,
  storeUrl: z.url({
    protocol: /^http$/,
    error: 'allowed is a URL that begins with http://',
  }),
  peers: z.array(addressSchema).max(64).default([]),
  /** False makes this daemon follow the store itself rather than a relay. */
  relayed: z.boolean().default(true),
  peerKey: z.string().min(MIN_KEY_LENGTH),
  operatorKey: z.string().min(MIN_KEY_LENGTH),
  statsdAddress: addressSchema.optional(),
  /** How grants reach backend servers: pushed, or in the answers to their heartbeats. */
  grants: z.enum(['pushed', 'answered']).default('pushed'),
  /** Time after which what leaves gets no new work, in milliseconds. */
  leavingAdmissionMs: z
    .number()
    .int()
    .min(0)
    .max(MAX_LEAVING_MS)
    .default(DEFAULT_LEAVING_MS),
  /** Longest time of one grant that an answer carries, in milliseconds. */
  maxHoldMs: z.number().int().min(1).max(MAX_LEAVING_MS).default(10_000),
  /** Most bytes that the rows of a grant take in one answer. */
  maxGrantBytes: z
    .number()
    .int()
    .min(KIBIBYTE)
    .max(MEBIBYTE)
    .default(64 * KIBIBYTE),
  /** How placement follows the load; times in milliseconds. */
  loadPace: z
    .strictObject({
      /** Time constant of the rates. */
      decayMs: z.number().int().min(100).max(600_000).default(20_000),
      /** Time that a slice is observed before its rate counts. */
      settleMs: z.number().int().min(0).max(600_000).default(5_000),
      /** Least time between two reports of an owner. */
      reportMs: z.number().int().min(100).max(600_000).default(2_000),
      /** Part by which an owner's load may differ from its share before keys move. */
      maxDeviation: z.number().min(0.01).max(10).default(MAX_DEVIATION),
      /** Slices above which cold ones are merged, in times those that the servers call for. */
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

/** Bounds that the settings give. */
export type Limits = Settings['limits'];

/** Reads and checks a settings file. */
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
