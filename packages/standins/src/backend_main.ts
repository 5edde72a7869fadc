/**
 * Runs the stand-in for a backend server as a process: `backend_main.js OPTIONS-JSON`. The server
 * drains on SIGTERM.
 */
import {BackendServer, type BackendServerOptions} from './backend_server.js';

const DRAIN_GRACE_MS = 3_000;

const options = JSON.parse(process.argv[2] ?? '{}') as BackendServerOptions;
const server = new BackendServer(options);
await server.start();
process.stdout.write(`listening ${options.port}\n`);
process.once('SIGTERM', () => {
  void server.drain(DRAIN_GRACE_MS).then(() => process.exit(0));
});
