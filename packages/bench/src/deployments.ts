/**
 * Defines the two sample deployments: their data centres, services, manifests and request mixes.
 */
import type {Manifest, RequestKind} from '@dottereldrift/manifest/types.js';

/** The backend servers of one service. */
export interface ServicePlan {
  readonly service: string;
  readonly servers: number;
  /** Median service time of the simulated backend servers, in milliseconds. */
  readonly serviceMs: number;
}

/** The requests of one kind within a request mix. */
export interface TrafficPlan {
  readonly service: string;
  readonly kind: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly isKeyed: boolean;
  readonly isIdempotent: boolean;
  /** Share of all requests, from 0 to 1. */
  readonly share: number;
}

/** A sample deployment. */
export interface Deployment {
  readonly name: string;
  readonly region: string;
  readonly dataCentres: readonly string[];
  readonly slots: number;
  readonly connections: number;
  readonly services: readonly ServicePlan[];
  readonly traffic: readonly TrafficPlan[];
  readonly manifest: Manifest;
}

const KIND_DEFAULTS = {maxAttempts: 3, objective: 0.99} as const;

const READ: RequestKind = {
  ...KIND_DEFAULTS,
  name: 'read',
  match: {methods: ['GET']},
  idempotent: true,
  deadlineMs: 500,
  priority: 7,
  expectedServiceMs: 4,
};

const WRITE: RequestKind = {
  ...KIND_DEFAULTS,
  name: 'write',
  match: {methods: ['POST']},
  idempotent: false,
  deadlineMs: 2_000,
  priority: 5,
  expectedServiceMs: 10,
};

const RULES = {
  fencing: 'checked',
  maxRunMs: 30_000,
  slicesPerServer: 64,
  maxQueued: 256,
} as const;

const BOCADITO: Deployment = {
  name: 'bocadito',
  region: 'central-valley',
  dataCentres: ['sj1', 'sj2', 'sj3'],
  slots: 6,
  connections: 120,
  services: [
    {service: 'menu', servers: 5, serviceMs: 4},
    {service: 'pedidos', servers: 3, serviceMs: 10},
    {service: 'rutas', servers: 3, serviceMs: 8},
    {service: 'cobros', servers: 3, serviceMs: 12},
  ],
  traffic: [
    createTraffic('menu', 'read', true, 0.55),
    createTraffic('menu', 'write', true, 0.1),
    createTraffic('pedidos', 'write', false, 0.15),
    createTraffic('rutas', 'read', false, 0.1),
    createTraffic('cobros', 'write', false, 0.1),
  ],
  manifest: {
    services: {
      menu: {...RULES, division: 'byKey', kinds: [READ, WRITE]},
      pedidos: {...RULES, division: 'none', kinds: [READ, WRITE]},
      rutas: {...RULES, division: 'none', kinds: [READ, WRITE]},
      cobros: {...RULES, division: 'none', kinds: [READ, WRITE]},
    },
  },
};

const SAMLAG: Deployment = {
  name: 'samlag',
  region: 'iceland',
  dataCentres: ['rvk1', 'rvk2', 'rvk3'],
  slots: 9,
  connections: 110,
  services: [
    {service: 'pot-view', servers: 5, serviceMs: 3},
    {service: 'pot-ledger', servers: 3, serviceMs: 10},
    {service: 'statements', servers: 3, serviceMs: 20},
    {service: 'remit', servers: 3, serviceMs: 12},
  ],
  traffic: [
    createTraffic('pot-view', 'read', true, 0.5),
    createTraffic('pot-view', 'write', true, 0.15),
    createTraffic('pot-ledger', 'write', false, 0.15),
    createTraffic('statements', 'read', false, 0.1),
    createTraffic('remit', 'write', false, 0.1),
  ],
  manifest: {
    services: {
      'pot-view': {...RULES, division: 'byKey', kinds: [READ, WRITE]},
      'pot-ledger': {...RULES, division: 'none', kinds: [READ, WRITE]},
      statements: {...RULES, division: 'none', kinds: [READ, WRITE]},
      remit: {...RULES, division: 'none', kinds: [READ, WRITE]},
    },
  },
};

/** Returns the deadline of a request kind in milliseconds, or Infinity if it has none. */
export function getDeadlineMs(
  {services}: Manifest,
  {service, kind}: Pick<TrafficPlan, 'service' | 'kind'>,
): number {
  const found = services[service]?.kinds.find(({name}) => name === kind);
  return found?.deadlineMs ?? Infinity;
}

/** Returns the deployment with the given name. */
export function findDeployment(name: string): Deployment | undefined {
  return [BOCADITO, SAMLAG].find(deployment => deployment.name === name);
}

function createTraffic(
  service: string,
  kind: 'read' | 'write',
  isKeyed: boolean,
  share: number,
): TrafficPlan {
  const isRead = kind === 'read';
  return {
    service,
    kind,
    method: isRead ? 'GET' : 'POST',
    path: isRead ? '/view' : '/change',
    isKeyed,
    isIdempotent: isRead,
    share,
  };
}
