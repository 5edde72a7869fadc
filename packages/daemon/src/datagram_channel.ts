/**
 * Exchanges heartbeats, their answers and stop notices between daemons as authenticated UDP datagrams. A datagram
 * consists of a truncated HMAC-SHA-256 of the message, followed by the message.
 */
import {
  createHmac,
  createSecretKey,
  type KeyObject,
  timingSafeEqual,
} from 'node:crypto';
import {createSocket, type Socket} from 'node:dgram';

import {create, fromBinary, toBinary} from '@bufbuild/protobuf';

import type {Log} from '@dottereldrift/core/log.js';
import type {Address, Member} from '@dottereldrift/core/types.js';
import {
  type Datagram,
  DatagramSchema,
  HeartbeatAnswerSchema,
  HeartbeatSchema,
  StopNoticeSchema,
} from '@dottereldrift/rpc/gen/dottereldrift/v1/datagram_pb.js';

const TAG_BYTES = 16;

/** Handles a received datagram. */
export type DatagramHandler = (datagram: Datagram, from: Address) => void;

/** Contents of a heartbeat to send. */
export interface OutgoingHeartbeat {
  readonly host: string;
  readonly incarnation: string;
  readonly sequence: number;
  /** Generation of the configuration in effect at the sender; 0 if there is none. */
  readonly configuration: number;
}

/** Contents of a heartbeat answer to send. */
export interface OutgoingAnswer {
  /** Host of the member whose heartbeat is answered. */
  readonly host: string;
  readonly incarnation: string;
  readonly witnessHost: string;
  readonly witnessIncarnation: string;
  readonly sequence: number;
  readonly fenced: boolean;
  /** Generation of the configuration in effect at the witness; 0 if there is none. */
  readonly configuration: number;
}

/** Exchanges datagrams with other daemons; delivery is not guaranteed. */
export interface DatagramChannel {
  /** Starts receiving; rejects if the socket cannot be bound, for example if the address is in use. */
  open(handler: DatagramHandler): Promise<void>;
  sendHeartbeat(to: Address, heartbeat: OutgoingHeartbeat): void;
  sendAnswer(to: Address, answer: OutgoingAnswer): void;
  /** Announces that a member takes no more requests from its peers. */
  sendStopNotice(to: Address, member: Member): void;
  close(): void;
}

/** Exchanges datagrams with other daemons over a UDP socket. */
export class UdpChannel implements DatagramChannel {
  private readonly key: KeyObject;
  private readonly socket: Socket;
  private handler: DatagramHandler = () => {};

  constructor(
    private readonly address: Address,
    key: string,
    private readonly log: Log,
  ) {
    this.key = createSecretKey(key, 'utf8');
    this.socket = createSocket(address.ip.includes(':') ? 'udp6' : 'udp4');
    this.socket.on('message', (bytes, remote) => {
      this.receiveBytes(bytes, {ip: remote.address, port: remote.port});
    });
    this.socket.on('error', error => {
      this.log.writeWarning('The datagram socket failed.', {
        reason: error.message,
      });
    });
  }

  open(handler: DatagramHandler): Promise<void> {
    this.handler = handler;
    return new Promise((resolve, reject) => {
      this.socket.once('error', reject);
      this.socket.bind(this.address.port, this.address.ip, () => {
        this.socket.off('error', reject);
        resolve();
      });
    });
  }

  sendHeartbeat(to: Address, heartbeat: OutgoingHeartbeat): void {
    const value = create(HeartbeatSchema, {
      ...heartbeat,
      sequence: BigInt(heartbeat.sequence),
      configuration: BigInt(heartbeat.configuration),
    });
    this.sendDatagram(
      to,
      create(DatagramSchema, {body: {case: 'heartbeat', value}}),
    );
  }

  sendAnswer(to: Address, answer: OutgoingAnswer): void {
    const value = create(HeartbeatAnswerSchema, {
      ...answer,
      sequence: BigInt(answer.sequence),
      configuration: BigInt(answer.configuration),
    });
    this.sendDatagram(
      to,
      create(DatagramSchema, {body: {case: 'heartbeatAnswer', value}}),
    );
  }

  sendStopNotice(to: Address, {host, incarnation}: Member): void {
    const value = create(StopNoticeSchema, {host, incarnation});
    this.sendDatagram(
      to,
      create(DatagramSchema, {body: {case: 'stopNotice', value}}),
    );
  }

  close(): void {
    this.socket.close();
  }

  private sendDatagram(to: Address, datagram: Datagram): void {
    const body = toBinary(DatagramSchema, datagram);
    const bytes = Buffer.concat([this.createTag(body), body]);
    this.socket.send(bytes, to.port, to.ip, error => {
      if (error !== null)
        this.log.writeDebug('Failed to send a datagram.', {
          reason: error.message,
        });
    });
  }

  private receiveBytes(bytes: Buffer, from: Address): void {
    const tag = bytes.subarray(0, TAG_BYTES);
    const body = bytes.subarray(TAG_BYTES);
    const isAuthentic =
      tag.length === TAG_BYTES && timingSafeEqual(tag, this.createTag(body));
    if (!isAuthentic) {
      this.log.writeWarning(
        'Dropped a datagram with an invalid authentication tag.',
        {
          from: from.ip,
        },
      );
      return;
    }
    try {
      this.handler(fromBinary(DatagramSchema, body), from);
    } catch (error) {
      this.log.writeWarning('Failed to process a datagram.', {
        reason: String(error),
      });
    }
  }

  private createTag(body: Uint8Array): Buffer {
    return createHmac('sha256', this.key)
      .update(body)
      .digest()
      .subarray(0, TAG_BYTES);
  }
}
