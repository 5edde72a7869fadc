/**
 * Tests that a datagram channel drops datagrams that are not authentic or cannot be parsed, and continues
 * to receive.
 */
import {createHmac} from 'node:crypto';
import {createSocket, type Socket} from 'node:dgram';

import {createLog} from '@dottereldrift/core/log.js';
import type {Address} from '@dottereldrift/core/types.js';
import test from 'ava';
import fc from 'fast-check';

import {UdpChannel} from '../src/datagram_channel.js';

const KEY = 'a key of the fleet';
const TAG_BYTES = 16;
const LOG = createLog('test', 'hidden', 'error');
const HEARTBEAT = {
  host: 'h1',
  incarnation: 'a',
  sequence: 7,
  configuration: 3,
};

async function openSocket(): Promise<Socket> {
  const socket = createSocket('udp4');
  await new Promise<void>(resolve => socket.bind(0, '127.0.0.1', resolve));
  return socket;
}

async function findFreeAddress(): Promise<Address> {
  const socket = await openSocket();
  const {port} = socket.address();
  await new Promise<void>(resolve => socket.close(resolve));
  return {ip: '127.0.0.1', port};
}

test('malformed datagrams and those with a wrong key are dropped, and the next heartbeat is received', async t => {
  const address = await findFreeAddress();
  const channel = new UdpChannel(address, KEY, LOG);
  const received: string[] = [];
  let notify = () => {};
  await channel.open(datagram => {
    received.push(datagram.body.case ?? 'none');
    notify();
  });
  const socket = await openSocket();
  const send = (bytes: Uint8Array) =>
    new Promise(resolve => {
      socket.send(bytes, address.port, address.ip, resolve);
    });
  const samples = fc.sample(fc.uint8Array({maxLength: 200}), {
    seed: 20_261_204,
    numRuns: 300,
  });
  for (const sample of samples) {
    await send(sample);
    const tag = createHmac('sha256', KEY).update(sample).digest();
    const signed = Buffer.concat([tag.subarray(0, TAG_BYTES), sample]);
    await send(signed);
    // The socket buffer is small, so let the channel read before the next sample is sent.
    await new Promise(resolve => setImmediate(resolve));
  }
  const otherKeyChannel = new UdpChannel(
    await findFreeAddress(),
    'another key',
    LOG,
  );
  otherKeyChannel.sendHeartbeat(address, HEARTBEAT);
  const sameKeyChannel = new UdpChannel(await findFreeAddress(), KEY, LOG);
  await new Promise<void>(resolve => {
    notify = () => {
      if (received.includes('heartbeat')) resolve();
    };
    sameKeyChannel.sendHeartbeat(address, HEARTBEAT);
  });
  t.is(received.filter(name => name === 'heartbeat').length, 1);
  await new Promise<void>(resolve => {
    notify = resolve;
    sameKeyChannel.sendStopNotice(address, {host: 'h1', incarnation: 'a'});
  });
  t.is(received.at(-1), 'stopNotice');
  for (const open of [channel, otherKeyChannel, sameKeyChannel]) open.close();
  socket.close();
});
