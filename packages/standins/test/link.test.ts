/**
 * Links: each direction is stopped and restored by itself, for connections and for datagrams.
 */
import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {connect, createServer} from 'node:net';

import test from 'ava';

import {CLEAR_LINK, Link} from '../src/link.js';

const TARGET = {ip: '127.77.1.1', port: 7501};
const ADDRESS = {ip: '127.77.1.1', port: 7502};
const SOURCE_IP = '127.77.1.2';

test.serial('a stopped direction of a connection goes on later', async t => {
  const server = createServer(socket => socket.pipe(socket));
  server.listen(TARGET.port, TARGET.ip);
  const link = new Link(ADDRESS, TARGET);
  await link.open();
  link.setRule({...CLEAR_LINK, passesAnswers: false}, SOURCE_IP);
  const [host, port] = [ADDRESS.ip, ADDRESS.port];
  const cut = connect({host, port, localAddress: SOURCE_IP});
  const other = connect({host, port});
  cut.write('from the cut source');
  other.write('from another');
  t.is(String((await once(other, 'data'))[0]), 'from another');
  t.is(cut.bytesRead, 0);
  link.clearRule(SOURCE_IP);
  t.is(String((await once(cut, 'data'))[0]), 'from the cut source');
  cut.destroy();
  other.destroy();
  await link.close();
  server.close();
});

test.serial('a stopped datagram is lost, in either direction', async t => {
  const received: string[] = [];
  const target = createSocket('udp4');
  target.on('message', (bytes, from) => {
    received.push(String(bytes));
    target.send(bytes, from.port, from.address);
  });
  target.bind(TARGET.port, TARGET.ip);
  const link = new Link(ADDRESS, TARGET);
  await link.open();
  link.setRule({...CLEAR_LINK, passesRequests: false}, '127.77.1.3');
  link.setRule({...CLEAR_LINK, passesAnswers: false}, '127.77.1.4');
  const answered: string[] = [];
  const sources = ['127.77.1.3', '127.77.1.4', '127.77.1.5'].map(ip => {
    const source = createSocket('udp4');
    source.on('message', bytes => answered.push(String(bytes)));
    source.bind(0, ip);
    return source;
  });
  await Promise.all(sources.map(source => once(source, 'listening')));
  const names = ['request lost', 'answer lost', 'passes'];
  const isPassed = once(sources[2] ?? target, 'message');
  sources.forEach((source, index) => {
    source.send(names[index] ?? '', ADDRESS.port, ADDRESS.ip);
  });
  await isPassed;
  t.deepEqual(received, ['answer lost', 'passes']);
  t.deepEqual(answered, ['passes']);
  for (const socket of [...sources, target]) socket.close();
  await link.close();
});
