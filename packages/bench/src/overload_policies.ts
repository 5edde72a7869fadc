/**
 * Lists the slot policies that the overload model compares: FIFO without and with a queue limit, each
 * feature of the adaptive policy alone, the full adaptive policy, and the adaptive policy without each
 * feature.
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

/** A slot policy under test and its name in the results. */
export interface NamedPolicy {
  readonly name: string;
  readonly create: (system: System, slots: number) => SlotPolicy;
}

const UNBOUNDED_QUEUE_LENGTH = 10_000_000;
const MAX_QUEUE_LENGTH = 256;

const ADAPTIVE_FEATURES: ReadonlyArray<
  readonly [string, Partial<AdaptiveOptions>]
> = [
  ['deadline', {isDeadlineChecked: true}],
  ['reserve', {reservedShare: ADAPTIVE_OPTIONS.reservedShare}],
  ['weights', {isWeighted: true}],
  ['wait', {waitMultiple: ADAPTIVE_OPTIONS.waitMultiple}],
  ['drop', {dropMultiple: ADAPTIVE_OPTIONS.dropMultiple}],
  ['fair', {isFair: true}],
];

/** All policies, baselines first. */
export const POLICIES: readonly NamedPolicy[] = [
  {
    name: 'fifo',
    create: (system, slots) =>
      new FifoPolicy(system, slots, () => UNBOUNDED_QUEUE_LENGTH),
  },
  {
    name: 'fifo-256',
    create: (system, slots) =>
      new FifoPolicy(system, slots, () => MAX_QUEUE_LENGTH),
  },
  ...ADAPTIVE_FEATURES.map(([name, feature]) =>
    createAdaptive(`only ${name}`, {...BASELINE_OPTIONS, ...feature}),
  ),
  createAdaptive('adaptive', ADAPTIVE_OPTIONS),
  ...ADAPTIVE_FEATURES.map(([name, feature]) =>
    createAdaptiveWithout(name, feature),
  ),
];

/** Names of the policies that a comparison includes by default. */
export const MAIN_POLICIES: ReadonlySet<string> = new Set([
  'fifo',
  'fifo-256',
  'adaptive',
]);

/** Creates the adaptive policy with one feature disabled. */
function createAdaptiveWithout(
  name: string,
  feature: Partial<AdaptiveOptions>,
): NamedPolicy {
  const names = Object.keys(feature) as Array<keyof AdaptiveOptions>;
  const disabled = Object.fromEntries(
    names.map(key => [key, BASELINE_OPTIONS[key]]),
  );
  return createAdaptive(`without ${name}`, {...ADAPTIVE_OPTIONS, ...disabled});
}

function createAdaptive(name: string, options: AdaptiveOptions): NamedPolicy {
  return {
    name,
    create: (system, slots) =>
      new AdaptivePolicy(system, slots, options, () => MAX_QUEUE_LENGTH),
  };
}
