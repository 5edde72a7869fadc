/**
 * Assigns the hosts of a fleet their names, IP addresses, data centres and server options.
 */
import {join} from 'node:path';

import type {FleetHost, FleetOptions} from './fleet.js';

/** Port on which a daemon listens for the backend server on its host. */
export const SERVER_PORT = 7103;

const BACKEND_PORT = 7110;
const FIRST_NETWORK_NUMBER = 20;
const NETWORK_NUMBER_COUNT = 200;
const STRAGGLER_FACTOR = 50;

/**
 * Returns the second and third octet of the hosts' IP addresses. They are derived from the process ID, so
 * that fleets of different processes can run at the same time.
 */
function createNetworkOctets(): string {
  const secondOctet =
    FIRST_NETWORK_NUMBER + (process.pid % NETWORK_NUMBER_COUNT);
  const thirdOctet =
    1 + (Math.floor(process.pid / NETWORK_NUMBER_COUNT) % NETWORK_NUMBER_COUNT);
  return `${secondOctet}.${thirdOctet}`;
}

/** Creates the hosts of a deployment, assigned to its data centres round-robin. */
export function createHosts(options: FleetOptions): readonly FleetHost[] {
  const {deployment, directory} = options;
  const network = createNetworkOctets();
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
