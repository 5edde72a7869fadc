/**
 * The least that a hop costs: fastify passes a request on through undici and streams the answer
 * back, without any decision. `bare_hop_main.js IP PORT TARGET-URL`.
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
  const answer = await pool.request({
    method: incoming.method as 'GET',
    path: incoming.url,
    headers,
    body: hasBody ? incoming.raw : null,
  });
  const passed = {...answer.headers};
  delete passed['connection'];
  return reply.code(answer.statusCode).headers(passed).send(answer.body);
});
await app.listen({host: ip, port: Number(port)});
process.stdout.write('listening\n');
