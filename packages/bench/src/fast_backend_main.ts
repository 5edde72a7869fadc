/**
 * A backend server that responds immediately, for measuring the overhead of the router itself. Without a
 * daemon URL it does not announce itself. `fast_backend_main.js SERVICE IP PORT DAEMON-URL`.
 */
import {createServer} from 'node:http';

import {request} from 'undici';

const ANNOUNCE_INTERVAL_MS = 500;
const SLOTS = 256;
const ANSWER = Buffer.from(JSON.stringify({items: ['a', 'b', 'c']}));

const [service = '', ip = '', port = '0', daemonUrl = ''] =
  process.argv.slice(2);

const server = createServer((incoming, response) => {
  incoming.resume();
  if (incoming.url?.startsWith('/dottereldrift/') === true) {
    response.writeHead(204).end();
    return;
  }
  response
    .writeHead(200, {
      'content-type': 'application/json',
      'content-length': ANSWER.byteLength,
    })
    .end(ANSWER);
});
server.keepAliveTimeout = 65_000;
server.listen(Number(port), ip, () => {
  process.stdout.write('listening\n');
});

async function announce(): Promise<void> {
  try {
    const response = await request(`${daemonUrl}/servers/${service}`, {
      method: 'PUT',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify({
        port: Number(port),
        slots: SLOTS,
        connections: SLOTS,
      }),
    });
    await response.body.dump();
  } catch {
    // The daemon is not up yet; the next announcement reaches it.
  }
}

if (daemonUrl !== '') {
  setInterval(() => void announce(), ANNOUNCE_INTERVAL_MS);
}
