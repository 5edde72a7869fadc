/**
 * Counts the hosts on which each service has a backend server.
 */
import type {ServiceName} from '@dottereldrift/core/types.js';
import type {Session} from '@dottereldrift/membership/types.js';
import type {HostCounts} from '@dottereldrift/routing/nested_kind_detector.js';

/** Returns the number of hosts per service. */
export function countHostsByService(sessions: readonly Session[]): HostCounts {
  const counts = new Map<ServiceName, number>();
  for (const {servers} of sessions) {
    for (const {service} of servers)
      counts.set(service, (counts.get(service) ?? 0) + 1);
  }
  return counts;
}
