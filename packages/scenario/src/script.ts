/**
 * The scenario language: what a scenario sets up, what happens when, and what must hold. A script
 * says nothing of how it is run.
 */

/** Which processes of a host something happens to. */
export type HostPart = 'host' | 'daemon' | 'server';

/** Something that happens to the deployment. */
export type Action =
  | {readonly kind: 'kill'; readonly host: string; readonly part: HostPart}
  | {readonly kind: 'start'; readonly host: string}
  | {readonly kind: 'freeze'; readonly host: string; readonly part: HostPart}
  | {readonly kind: 'continue'; readonly host: string}
  | {
      readonly kind: 'cut';
      readonly host: string;
      /** What of the host's traffic is lost. */
      readonly lost: 'both' | 'incoming' | 'outgoing';
    }
  | {readonly kind: 'cut-store'; readonly host: string}
  | {readonly kind: 'delay'; readonly host: string; readonly delayMs: number}
  | {readonly kind: 'restore'}
  | {readonly kind: 'store-outage'; readonly isOut: boolean}
  | {readonly kind: 'store-lost-answers'; readonly isLosing: boolean}
  | {readonly kind: 'store-write-delay'; readonly delayMs: number}
  | {readonly kind: 'race'}
  | {readonly kind: 'apply'}
  | {readonly kind: 'drain'; readonly host: string}
  | {readonly kind: 'server-leaves'; readonly host: string}
  | {readonly kind: 'shutdown'; readonly host: string}
  | {readonly kind: 'hot-key'; readonly oneIn: number};

/** An action with its time from the start of the traffic. */
export interface ScheduledAction {
  readonly atMs: number;
  readonly text: string;
  readonly action: Action;
}

/** The promises that a scenario may check, by the names that pages and reports use. */
export const PROMISES = [
  'one-owner',
  'assignment-survives',
  'own-answer',
  'not-run',
  'at-most-once',
  'leaving',
  'graceful-shutdown',
  'configuration',
] as const;

/** A promise. */
export type Promised = (typeof PROMISES)[number];

/** The failures under which promises are proved, by the names that pages and reports use. */
export const FAILURES = [
  'kill',
  'cut',
  'one-way cut',
  'freeze',
  'store outage',
  'operator race',
  'two together',
] as const;

/** A failure. */
export type Failure = (typeof FAILURES)[number];

/** A scenario. */
export interface Script {
  readonly name: string;
  /** Whether it also runs on real processes. */
  readonly isForProcesses: boolean;
  readonly service: string;
  readonly hosts: number;
  readonly dataCentres: number;
  readonly requestsPerSecond: number;
  readonly keys: number;
  readonly durationMs: number;
  readonly actions: readonly ScheduledAction[];
  readonly promises: readonly Promised[];
  /** Time after the last action from which every request completes; undefined when not required. */
  readonly recoveryMs: number | undefined;
}

/** Returns the failure that an action brings about; undefined for planned work and repairs. */
export function getFailure(action: Action): Failure | undefined {
  switch (action.kind) {
    case 'kill':
    case 'freeze':
      return action.kind;
    case 'cut':
      return action.lost === 'both' ? 'cut' : 'one-way cut';
    case 'cut-store':
    case 'delay':
      return 'cut';
    case 'store-outage':
      return action.isOut ? 'store outage' : undefined;
    case 'store-lost-answers':
      return action.isLosing ? 'store outage' : undefined;
    case 'store-write-delay':
      return 'store outage';
    case 'race':
      return 'operator race';
    default:
      return undefined;
  }
}

/** Returns the column of the table of proofs that a script belongs to; undefined when nothing fails. */
export function getColumn(script: Script): Failure | undefined {
  const failures = new Set(
    script.actions.flatMap(({action}) => getFailure(action) ?? []),
  );
  return failures.size > 1 ? 'two together' : [...failures][0];
}
