/**
 * Runs the stand-in for the object store as a process: `store_main.js PORT`.
 */
import {StoreServer} from './store_server.js';

const server = new StoreServer();
const port = await server.listen(Number(process.argv[2] ?? 0));
process.stdout.write(`listening ${port}\n`);
