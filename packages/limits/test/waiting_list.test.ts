/**
 * Compares the waiting list with a simple array-based model of round-robin service.
 */
import test from 'ava';
import fc from 'fast-check';

import type {SlotRequest} from '../src/types.js';
import {type WaitingRequest, WaitingList} from '../src/waiting_list.js';

const SEED = 20_262;
const RUNS = 500;

/** Model of the waiting list: one array of requests per caller, in round-robin order. */
class ReferenceList {
  private readonly callerQueues: Array<{
    readonly caller: string;
    numbers: number[];
  }> = [];

  add(caller: string, number: number): void {
    const callerQueue = this.callerQueues.find(
      other => other.caller === caller,
    );
    if (callerQueue === undefined)
      this.callerQueues.push({caller, numbers: [number]});
    else callerQueue.numbers.push(number);
  }

  take(): number | undefined {
    const callerQueue = this.callerQueues.shift();
    const number = callerQueue?.numbers.shift();
    if (callerQueue !== undefined && callerQueue.numbers.length > 0)
      this.callerQueues.push(callerQueue);
    return number;
  }

  remove(number: number): void {
    for (const callerQueue of this.callerQueues)
      callerQueue.numbers = callerQueue.numbers.filter(
        other => other !== number,
      );
    const left = this.callerQueues.filter(
      callerQueue => callerQueue.numbers.length > 0,
    );
    this.callerQueues.splice(0, this.callerQueues.length, ...left);
  }

  /** Returns the number of requests that are taken before a new one of the caller. */
  countAhead(caller: string): number {
    const copy = new ReferenceList();
    for (const callerQueue of this.callerQueues)
      copy.callerQueues.push({
        ...callerQueue,
        numbers: [...callerQueue.numbers],
      });
    copy.add(caller, -1);
    for (let count = 0; ; count++) if (copy.take() === -1) return count;
  }
}

function createWaiting(caller: string, number: number): WaitingRequest {
  const request: SlotRequest = {
    kind: 'read',
    priority: 5,
    expectedServiceMs: 1,
    deadlineAtMs: 0,
    caller,
    bytes: 0,
    onRun: () => {},
    onRefuse: () => {},
  };
  return {request, arrivedAtMs: 0, arrivalNumber: number};
}

const steps = fc.array(
  fc.oneof(
    fc.record({kind: fc.constant('add' as const), caller: fc.nat(3)}),
    fc.record({kind: fc.constant('take' as const)}),
    fc.record({kind: fc.constant('remove' as const), number: fc.nat(60)}),
  ),
  {maxLength: 120},
);

test('callers are served round-robin, as in the reference model', t => {
  fc.assert(
    fc.property(steps, commands => {
      const list = new WaitingList(true);
      const reference = new ReferenceList();
      const removers: Array<() => boolean> = [];
      for (const command of commands) {
        if (command.kind === 'take') {
          if (list.take('oldest')?.arrivalNumber !== reference.take())
            return false;
        } else if (command.kind === 'remove') {
          removers[command.number]?.();
          reference.remove(command.number);
        } else {
          const caller = `caller-${command.caller}`;
          if (list.countAhead(caller) < reference.countAhead(caller))
            return false;
          removers.push(list.add(createWaiting(caller, removers.length)));
          reference.add(caller, removers.length - 1);
        }
      }
      return true;
    }),
    {seed: SEED, numRuns: RUNS},
  );
  t.pass();
});
