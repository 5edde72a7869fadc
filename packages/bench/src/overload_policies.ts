/**
 * The slot policies that the overload model compares: first come, first served without and with a
 * bound, each part of the adaptive policy alone, all together, and all but one.
 */
import type {System} from '@dottereldrift/core/system.js';
import {
  ADAPTIVE_OPTIONS,
  type AdaptiveOptions,
  BASELINE_OPTIONS,
} from '@dottereldrift/limits/adaptive_options.js';
import {AdaptivePolicy} from '@dottereldrift/limits/adaptive_policy.js';
import {FifoPolicy} from '@dottereldrift/limits/fifo_policy.js';
import type {SlotPolicy} from '@dottereldrift/limits/types.js';

/** A policy under test. */
export interface NamedPolicy {
  readonly name: string;
  readonly create: (system: System, slots: number) => SlotPolicy;
}

const UNBOUNDED = 10_000_000;
const BOUND = 256;

const PARTS: ReadonlyArray<readonly [string, Partial<AdaptiveOptions>]> = [
  ['deadline', {isDeadlineChecked: true}],
  ['reserve', {reservedShare: ADAPTIVE_OPTIONS.reservedShare}],
  ['weights', {isWeighted: true}],
  ['wait', {waitMultiple: ADAPTIVE_OPTIONS.waitMultiple}],
  ['drop', {dropMultiple: ADAPTIVE_OPTIONS.dropMultiple}],
  ['fair', {isFair: true}],
];

/** Every policy, the baselines first. */
export const POLICIES: readonly NamedPolicy[] = [
  {
    name: 'fifo',
    create: (system, slots) => new FifoPolicy(system, slots, () => UNBOUNDED),
  },
  {
    name: 'fifo-256',
    create: (system, slots) => new FifoPolicy(system, slots, () => BOUND),
  },
  ...PARTS.map(([name, part]) =>
    createNamed(`only ${name}`, {...BASELINE_OPTIONS, ...part}),
  ),
  createNamed('adaptive', ADAPTIVE_OPTIONS),
  ...PARTS.map(([name, part]) => createWithout(name, part)),
];

/** Names of the policies that a short comparison takes. */
export const MAIN_POLICIES: ReadonlySet<string> = new Set([
  'fifo',
  'fifo-256',
  'adaptive',
]);

/** The adaptive policy without one of its parts. */
function createWithout(
  name: string,
  part: Partial<AdaptiveOptions>,
): NamedPolicy {
  const names = Object.keys(part) as Array<keyof AdaptiveOptions>;
  const plain = Object.fromEntries(
    names.map(key => [key, BASELINE_OPTIONS[key]]),
  );
  return createNamed(`without ${name}`, {...ADAPTIVE_OPTIONS, ...plain});
}

function createNamed(name: string, options: AdaptiveOptions): NamedPolicy {
  return {
    name,
    create: (system, slots) =>
      new AdaptivePolicy(system, slots, options, () => BOUND),
  };
}
