/**
 * Lays out the hosts of a fleet: names, IP numbers, data centres and the options of their servers.
 */
import {join} from 'node:path';

import type {FleetHost, FleetOptions} from './fleet.js';

/** Port at which a daemon listens for the server on its host. */
export const SERVER_PORT = 7103;

const BACKEND_PORT = 7110;
const FIRST_NETWORK = 20;
const NETWORKS = 200;
const STRAGGLER_FACTOR = 50;

/**
 * Returns the second and third number of the hosts' IP numbers, so that the fleets of two processes
 * run side by side.
 */
function createNetwork(): string {
  const second = FIRST_NETWORK + (process.pid % NETWORKS);
  const third = 1 + (Math.floor(process.pid / NETWORKS) % NETWORKS);
  return `${second}.${third}`;
}

/** Returns the hosts of a deployment, spread over its data centres in turn. */
export function createHosts(options: FleetOptions): readonly FleetHost[] {
  const {deployment, directory} = options;
  const network = createNetwork();
  const names = deployment.services.flatMap(plan =>
    Array.from({length: plan.servers}, (_, index) => ({
      plan,
      name: `${plan.service}-${index + 1}`,
    })),
  );
  return names.map(({plan, name}, index) => {
    const ip = `127.${network}.${index + 1}`;
    const dataCentre =
      deployment.dataCentres[index % deployment.dataCentres.length] ?? '';
    const recordsPath = join(directory, `${name}.records`);
    return {
      name,
      ip,
      dataCentre,
      service: plan.service,
      settingsPath: join(directory, `${name}.json`),
      recordsPath,
      serverOptions: {
        service: plan.service,
        host: name,
        ip,
        port: BACKEND_PORT,
        daemonUrl: `http://${ip}:${SERVER_PORT}`,
        slots: deployment.slots,
        connections: deployment.connections,
        serviceMs: plan.serviceMs,
        stragglerShare: options.stragglerShare,
        stragglerFactor: STRAGGLER_FACTOR,
        isFencing: options.isFencing ?? true,
        coldMs: 0,
        recordsPath,
      },
    };
  });
}
