/**
 * Creates the manifests that scenarios apply.
 */
import type {Manifest, RequestKind} from '@dottereldrift/manifest/types.js';

const KIND = {maxAttempts: 3, priority: 5, objective: 0.99} as const;

const READ: RequestKind = {
  ...KIND,
  name: 'read',
  match: {methods: ['GET']},
  idempotent: true,
  deadlineMs: 1_000,
  expectedServiceMs: 4,
};

const WRITE: RequestKind = {
  ...KIND,
  name: 'write',
  match: {methods: ['POST']},
  idempotent: false,
  deadlineMs: 2_000,
  expectedServiceMs: 4,
};

const SLICES_PER_SERVER = 16;
const MAX_QUEUED = 256;

/** Creates a manifest of one service; manifests with different variants differ in `maxQueued`. */
export function createManifest(service: string, variant: number): Manifest {
  return {
    services: {
      [service]: {
        division: 'byKey',
        fencing: 'checked',
        maxRunMs: 30_000,
        slicesPerServer: SLICES_PER_SERVER,
        maxQueued: MAX_QUEUED + variant,
        kinds: [READ, WRITE],
      },
    },
  };
}
