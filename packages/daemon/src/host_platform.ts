/**
 * What a daemon needs of the platform that it runs on, where the platform has interfaces of its own for
 * callers, backend servers, the store and the configuration.
 */
import type {FastifyInstance} from 'fastify';

import type {TextMetrics} from '@dottereldrift/core/text_metrics.js';
import type {Address, ServiceName} from '@dottereldrift/core/types.js';
import type {RetryBudgetLimits} from '@dottereldrift/routing/retry_budget.js';
import type {ObjectStore} from '@dottereldrift/store/types.js';

import type {CallerProtocol} from './caller_protocol.js';
import type {ConfigurationSource} from './configuration_follower.js';
import type {ServerRegistry} from './server_registry.js';

/** A platform. */
export interface HostPlatform {
  readonly protocol: CallerProtocol;
  readonly store: ObjectStore;
  readonly configuration: ConfigurationSource;
  /** Where callers whose requests are selected by host and path are served. */
  readonly routedAddress: Address;
  /** Where the platform asks whether this daemon takes callers, and reads its metrics. */
  readonly readyAddress: Address;
  /** Time from the signal to stop to the end of the process, in milliseconds. */
  readonly graceMs: number;
  /** Metrics that the platform reads as text at the address where it asks for readiness. */
  readonly metrics: TextMetrics;
  /** Second sends that the whole fleet may make. */
  readonly retryBudget: RetryBudgetLimits;
  /** Returns the service of the backend server on this host. */
  getOrigin(): ServiceName;
  /** Adds the routes of backend servers to their listener. */
  addServerRoutes(app: FastifyInstance, registry: ServerRegistry): void;
  /** Closes every connection of the platform's adapters. */
  close(): Promise<void>;
}
