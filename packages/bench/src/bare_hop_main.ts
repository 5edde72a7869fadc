/**
 * A minimal proxy that gives the lower bound for the cost of a hop: fastify forwards each request through
 * undici and streams the response back, without any routing. `bare_hop_main.js IP PORT TARGET-URL`.
 */
import fastify from 'fastify';
import {Pool} from 'undici';

const CONNECTIONS = 128;

const [ip = '', port = '0', target = ''] = process.argv.slice(2);

const pool = new Pool(target, {connections: CONNECTIONS, pipelining: 1});
const app = fastify({keepAliveTimeout: 65_000});
app.removeAllContentTypeParsers();
app.addContentTypeParser('*', (_request, _payload, done) => {
  done(null);
});
app.all('/*', async (incoming, reply) => {
  const hasBody = incoming.headers['content-length'] !== undefined;
  const headers = {...incoming.headers};
  delete headers.connection;
  const response = await pool.request({
    method: incoming.method as 'GET',
    path: incoming.url,
    headers,
    body: hasBody ? incoming.raw : null,
  });
  const responseHeaders = {...response.headers};
  delete responseHeaders['connection'];
  return reply
    .code(response.statusCode)
    .headers(responseHeaders)
    .send(response.body);
});
await app.listen({host: ip, port: Number(port)});
process.stdout.write('listening\n');
