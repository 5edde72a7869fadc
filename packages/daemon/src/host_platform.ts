/**
 * The interface of a platform that provides its own protocols for callers, backend servers, the store and
 * the configuration.
 */
import type {FastifyInstance} from 'fastify';

import type {TextMetrics} from '@dottereldrift/core/text_metrics.js';
import type {Address, ServiceName} from '@dottereldrift/core/types.js';
import type {RetryBudgetLimits} from '@dottereldrift/routing/retry_budget.js';
import type {ObjectStore} from '@dottereldrift/store/types.js';

import type {CallerProtocol} from './caller_protocol.js';
import type {ConfigurationSource} from './configuration_follower.js';
import type {ServerRegistry} from './server_registry.js';

/** The platform that a daemon runs on. */
export interface HostPlatform {
  readonly protocol: CallerProtocol;
  readonly store: ObjectStore;
  readonly configuration: ConfigurationSource;
  /** Listening address for callers whose requests are matched by host and path. */
  readonly routedAddress: Address;
  /** Listening address for the platform's readiness checks and metrics. */
  readonly readyAddress: Address;
  /** Time from the stop signal until the platform kills the process, in milliseconds. */
  readonly graceMs: number;
  /** Metrics that the platform reads as text at the readiness address. */
  readonly metrics: TextMetrics;
  /** Limits of the retries of the whole fleet. */
  readonly retryBudget: RetryBudgetLimits;
  /** Returns the service of the backend server on this host. */
  getOrigin(): ServiceName;
  /** Adds the routes for backend servers to their listener. */
  addServerRoutes(app: FastifyInstance, registry: ServerRegistry): void;
  /** Closes every connection of the platform's adapters. */
  close(): Promise<void>;
}
