/**
 * Types of parsed scenarios: the deployment, the scheduled actions and the promises to check. A script is independent
 * of the environment that runs it.
 */

/** The processes of a host that an action affects. */
export type HostPart = 'host' | 'daemon' | 'server';

/** A fault or operation applied to the deployment. */
export type Action =
  | {readonly kind: 'kill'; readonly host: string; readonly part: HostPart}
  | {readonly kind: 'start'; readonly host: string}
  | {readonly kind: 'freeze'; readonly host: string; readonly part: HostPart}
  | {readonly kind: 'continue'; readonly host: string}
  | {
      readonly kind: 'cut';
      readonly host: string;
      /** Directions of the host's traffic that are lost. */
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

/** An action and its time since the start of the traffic. */
export interface ScheduledAction {
  readonly atMs: number;
  readonly text: string;
  readonly action: Action;
}

/** Promises that a scenario may check, by their names in documentation and reports. */
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

/** Name of a promise. */
export type PromiseName = (typeof PROMISES)[number];

/** Failures under which promises are tested, by their names in documentation and reports. */
export const FAILURES = [
  'kill',
  'cut',
  'one-way cut',
  'freeze',
  'store outage',
  'operator race',
  'two together',
] as const;

/** Name of a failure. */
export type Failure = (typeof FAILURES)[number];

/** A parsed scenario. */
export interface Script {
  readonly name: string;
  /** Whether the scenario also runs on real processes. */
  readonly isForProcesses: boolean;
  readonly service: string;
  readonly hosts: number;
  readonly dataCentres: number;
  readonly requestsPerSecond: number;
  readonly keys: number;
  readonly durationMs: number;
  readonly actions: readonly ScheduledAction[];
  readonly promises: readonly PromiseName[];
  /** Time after the last action from which every request must complete; undefined if not required. */
  readonly recoveryMs: number | undefined;
}

/** Returns the failure that an action causes; undefined for planned operations and repairs. */
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

/** Returns the failure under which the documented promise table lists a script; undefined if nothing fails. */
export function getColumn(script: Script): Failure | undefined {
  const failures = new Set(
    script.actions.flatMap(({action}) => getFailure(action) ?? []),
  );
  return failures.size > 1 ? 'two together' : [...failures][0];
}
