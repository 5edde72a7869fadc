/**
 * The waiting list against a plain array that serves callers in turn.
 */
import test from 'ava';
import fc from 'fast-check';

import type {SlotRequest} from '../src/types.js';
import {type Waiting, WaitingList} from '../src/waiting_list.js';

const SEED = 20_262;
const RUNS = 500;

/** The same rules, written plainly: turns of callers, each with its requests. */
class ReferenceList {
  private readonly turns: Array<{readonly caller: string; numbers: number[]}> =
    [];

  add(caller: string, number: number): void {
    const turn = this.turns.find(other => other.caller === caller);
    if (turn === undefined) this.turns.push({caller, numbers: [number]});
    else turn.numbers.push(number);
  }

  take(): number | undefined {
    const turn = this.turns.shift();
    const number = turn?.numbers.shift();
    if (turn !== undefined && turn.numbers.length > 0) this.turns.push(turn);
    return number;
  }

  remove(number: number): void {
    for (const turn of this.turns)
      turn.numbers = turn.numbers.filter(other => other !== number);
    const left = this.turns.filter(turn => turn.numbers.length > 0);
    this.turns.splice(0, this.turns.length, ...left);
  }

  /** Requests taken before a new one of the caller. */
  countAhead(caller: string): number {
    const copy = new ReferenceList();
    for (const turn of this.turns)
      copy.turns.push({...turn, numbers: [...turn.numbers]});
    copy.add(caller, -1);
    for (let count = 0; ; count++) if (copy.take() === -1) return count;
  }
}

function createWaiting(caller: string, number: number): Waiting {
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
  return {request, arrivedAtMs: 0, number};
}

const steps = fc.array(
  fc.oneof(
    fc.record({kind: fc.constant('add' as const), caller: fc.nat(3)}),
    fc.record({kind: fc.constant('take' as const)}),
    fc.record({kind: fc.constant('remove' as const), number: fc.nat(60)}),
  ),
  {maxLength: 120},
);

test('callers are served in turn, as by the plain reference', t => {
  fc.assert(
    fc.property(steps, commands => {
      const list = new WaitingList(true);
      const reference = new ReferenceList();
      const removers: Array<() => boolean> = [];
      for (const command of commands) {
        if (command.kind === 'take') {
          if (list.take('oldest')?.number !== reference.take()) return false;
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
