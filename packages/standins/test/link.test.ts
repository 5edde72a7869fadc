/**
 * Tests that a link blocks and unblocks each direction separately, for connections and datagrams.
 */
import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {connect, createServer} from 'node:net';

import test from 'ava';

import {UNIMPAIRED_LINK, Link} from '../src/link.js';

const TARGET = {ip: '127.77.1.1', port: 7501};
const ADDRESS = {ip: '127.77.1.1', port: 7502};
const SOURCE_IP = '127.77.1.2';

test.serial(
  'a blocked direction of a connection resumes when unblocked',
  async t => {
    const server = createServer(socket => socket.pipe(socket));
    server.listen(TARGET.port, TARGET.ip);
    const link = new Link(ADDRESS, TARGET);
    await link.open();
    link.setRule({...UNIMPAIRED_LINK, passesAnswers: false}, SOURCE_IP);
    const [host, port] = [ADDRESS.ip, ADDRESS.port];
    const blocked = connect({host, port, localAddress: SOURCE_IP});
    const other = connect({host, port});
    blocked.write('from the blocked source');
    other.write('from another');
    t.is(String((await once(other, 'data'))[0]), 'from another');
    t.is(blocked.bytesRead, 0);
    link.clearRule(SOURCE_IP);
    t.is(String((await once(blocked, 'data'))[0]), 'from the blocked source');
    blocked.destroy();
    other.destroy();
    await link.close();
    server.close();
  },
);

test.serial('a blocked datagram is lost, in either direction', async t => {
  const received: string[] = [];
  const target = createSocket('udp4');
  target.on('message', (bytes, from) => {
    received.push(String(bytes));
    target.send(bytes, from.port, from.address);
  });
  target.bind(TARGET.port, TARGET.ip);
  const link = new Link(ADDRESS, TARGET);
  await link.open();
  link.setRule({...UNIMPAIRED_LINK, passesRequests: false}, '127.77.1.3');
  link.setRule({...UNIMPAIRED_LINK, passesAnswers: false}, '127.77.1.4');
  const answered: string[] = [];
  const sources = ['127.77.1.3', '127.77.1.4', '127.77.1.5'].map(ip => {
    const source = createSocket('udp4');
    source.on('message', bytes => answered.push(String(bytes)));
    source.bind(0, ip);
    return source;
  });
  await Promise.all(sources.map(source => once(source, 'listening')));
  const payloads = ['request lost', 'answer lost', 'passes'];
  const delivery = once(sources[2] ?? target, 'message');
  sources.forEach((source, index) => {
    source.send(payloads[index] ?? '', ADDRESS.port, ADDRESS.ip);
  });
  await delivery;
  t.deepEqual(received, ['answer lost', 'passes']);
  t.deepEqual(answered, ['passes']);
  for (const socket of [...sources, target]) socket.close();
  await link.close();
});
