/**
 * Tests the pacing of large responses and admission by the link in small scenarios.
 */
import test from 'ava';

import {VirtualSystem} from '@dottereldrift/core/virtual_system.js';

import {EgressAdmission} from '../src/egress_admission.js';
import {
  createPacer,
  EgressPacer,
  type EgressTransfer,
} from '../src/egress_pacer.js';

/** The pacer sends 80,000 bytes in 100 ms. */
const LINK_BITS_PER_SECOND = 8_000_000;
const RESPONSE_BYTES = 80_000;

/** Records what reaches the connections of a pacer. */
class EgressHarness {
  readonly system = new VirtualSystem(() => 0.5);
  readonly pacer: EgressPacer;
  readonly events: string[] = [];
  private readonly drains = new Map<string, () => void>();

  constructor(bitsPerSecond = LINK_BITS_PER_SECOND) {
    this.pacer = new EgressPacer(this.system, bitsPerSecond);
  }

  /** Starts a response to a receiver that accepts a number of bytes before it has to drain. */
  startTransfer(name: string, acceptedBytes = Infinity): EgressTransfer {
    let written = 0;
    return this.pacer.startTransfer({
      write: chunk => {
        written += chunk.byteLength;
        this.addEvent(`${name} ${written}`);
        return written < acceptedBytes;
      },
      waitForDrain: callback => {
        this.drains.set(name, callback);
      },
    });
  }

  drain(name: string): void {
    this.drains.get(name)?.();
  }

  addEvent(text: string): void {
    const nowMs = Math.round(this.system.getNow().monotonicMs);
    this.events.push(`${nowMs} ms: ${text}`);
  }

  run(ms: number): void {
    this.system.runUntil(this.system.getNow().monotonicMs + ms);
  }
}

test('responses are sent one after the other at the rate of the link', t => {
  const harness = new EgressHarness();
  for (const name of ['first', 'second']) {
    const transfer = harness.startTransfer(name);
    transfer.writeChunk(Buffer.alloc(RESPONSE_BYTES));
    transfer.end(() => {
      harness.addEvent(`${name} ends`);
    });
  }
  harness.run(1_000);
  t.is(harness.pacer.getQueuedBytes(), 0);
  t.snapshot(harness.events);
});

test('a receiver that does not keep up does not hold up the other responses', t => {
  const harness = new EgressHarness();
  harness
    .startTransfer('slow', 10_000)
    .writeChunk(Buffer.alloc(RESPONSE_BYTES));
  harness.startTransfer('fast').writeChunk(Buffer.alloc(RESPONSE_BYTES));
  harness.run(500);
  harness.addEvent('slow drains');
  harness.drain('slow');
  harness.run(500);
  t.snapshot(harness.events);
});

// Guards against a receiver that reads nothing and keeps its host from admitting downloads.
test('bytes that wait for their receiver do not count as waiting for the link', t => {
  const harness = new EgressHarness();
  harness.startTransfer('stalled', 1).writeChunk(Buffer.alloc(RESPONSE_BYTES));
  harness.run(500);
  t.is(harness.pacer.getQueuedBytes(), 0);
  const admission = new EgressAdmission(harness.pacer);
  t.not(admission.tryReserve(RESPONSE_BYTES, 200), undefined);
});

test('an error of a receiver does not stop the other responses', t => {
  const harness = new EgressHarness();
  const failing = harness.pacer.startTransfer({
    write: () => {
      throw new Error('the connection is closed');
    },
    waitForDrain: () => {},
  });
  t.throws(() => failing.writeChunk(Buffer.alloc(10_000)));
  failing.cancel();
  harness.startTransfer('next').writeChunk(Buffer.alloc(10_000));
  harness.run(500);
  t.is(harness.events.length, 1);
});

test('a cancelled response frees the link and never ends', t => {
  const harness = new EgressHarness();
  const cancelled = harness.startTransfer('cancelled');
  cancelled.writeChunk(Buffer.alloc(RESPONSE_BYTES));
  cancelled.end(() => {
    t.fail();
  });
  harness.startTransfer('next').writeChunk(Buffer.alloc(10_000));
  harness.run(30);
  cancelled.cancel();
  cancelled.cancel();
  t.true(cancelled.writeChunk(Buffer.alloc(10)));
  harness.run(500);
  t.is(harness.pacer.getQueuedBytes(), 0);
  t.snapshot(harness.events);
});

test('reading is paused while much is queued', t => {
  const harness = new EgressHarness();
  const transfer = harness.startTransfer('large');
  let chunks = 0;
  while (transfer.writeChunk(Buffer.alloc(65_536))) chunks += 1;
  t.is(chunks, 4);
  transfer.waitForDrain(() => {
    harness.addEvent('drained');
  });
  harness.run(200);
  t.snapshot(harness.events.filter(event => event.includes('drained')));
});

test('requests whose responses would leave too late are refused', t => {
  const {pacer} = new EgressHarness();
  const admission = new EgressAdmission(pacer);
  // One response takes 100 ms and may take 0.6 of the time left, with those ahead of it.
  const ends = [1, 2, 3].map(() => admission.tryReserve(RESPONSE_BYTES, 520));
  t.true(ends.every(end => end !== undefined));
  t.is(admission.tryReserve(RESPONSE_BYTES, 520), undefined);
  t.not(admission.tryReserve(1_000, 0), undefined);
  ends[0]?.();
  ends[0]?.();
  t.not(admission.tryReserve(RESPONSE_BYTES, 520), undefined);
  t.is(admission.tryReserve(RESPONSE_BYTES, 520), undefined);
});

test('an idle link admits a response that takes longer than the time left', t => {
  const {pacer} = new EgressHarness();
  t.not(new EgressAdmission(pacer).tryReserve(RESPONSE_BYTES, 10), undefined);
});

test('on a faster link larger slices are written', t => {
  const harness = new EgressHarness(140_000_000);
  const transfer = harness.startTransfer('response');
  for (let chunk = 0; chunk < 3; chunk++)
    transfer.writeChunk(Buffer.alloc(65_536));
  t.deepEqual(harness.events, [
    '0 ms: response 65536',
    '0 ms: response 131072',
    '0 ms: response 196608',
  ]);
});

test('fast links and links of unknown bandwidth are not paced', t => {
  const {system} = new EgressHarness();
  t.not(createPacer(system, 140_000_000), undefined);
  t.is(createPacer(system, 1_000_000_000), undefined);
  t.is(createPacer(system, undefined), undefined);
});
