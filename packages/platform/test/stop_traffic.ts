/**
 * Traffic for tests of stops, and the check of what its callers were told.
 */
import type http from 'node:http';

import type {Answer, PlatformFleet} from './platform_fleet.js';

const SEND_INTERVAL_MS = 40;
const SHORT_WORK_MS = 60;
const SHORT_DEADLINE_MS = 1_500;
/** Requests sent later than this after the stop signal may not be broken off. */
const EXCUSED_MS = 3_000;
/** Fraction of the grace period from which a request may be broken off while its server works on it. */
const EXCUSED_FROM_SHARE = 5 / 6;
/** Time after the last byte of a request within which its connection may end without it being run. */
const LOSS_SLACK_MS = 200;
/** Time within which a stopping daemon refuses a request. */
const AT_ONCE_MS = 500;
const OK = 200;
const NOT_RUN_STATUS = 503;
/** Services by host; the first two hosts stop. */
export const SERVICES = ['stock', 'rutas', 'pay', 'pay'];

/** The stop of a daemon. */
export interface Stop {
  readonly hostIndex: number;
  readonly signalAtMs: number;
  /** Infinity while the daemon is running. */
  exitedAtMs: number;
}

/** Sends short requests to every host for as long as `isSending` returns true. */
export async function sendTraffic(
  fleet: PlatformFleet,
  agent: http.Agent,
  isSending: () => boolean,
): Promise<void> {
  const sent: Array<Promise<Answer>> = [];
  const short = {workMs: SHORT_WORK_MS, deadlineMs: SHORT_DEADLINE_MS};
  while (isSending()) {
    for (const [hostIndex, service] of SERVICES.entries()) {
      sent.push(
        fleet.send(hostIndex, {...short, service: 'pay'}),
        fleet.send(hostIndex, {...short, service: 'pay', agent}),
      );
      // Requests for the servers of the stopping hosts, from peers.
      if (service === 'pay')
        for (const target of ['stock', 'rutas'])
          sent.push(fleet.send(hostIndex, {...short, service: target, agent}));
    }
    await new Promise(resolve => setTimeout(resolve, SEND_INTERVAL_MS));
  }
  await Promise.all(sent);
}

/** Lists the requests that were broken off, run twice, refused late or refused and run. */
export function listFaults(
  fleet: PlatformFleet,
  stops: readonly Stop[],
  graceMs: number,
): readonly string[] {
  return fleet.answers.flatMap(answer => {
    const stop = stops.findLast(
      ({hostIndex, signalAtMs}) =>
        hostIndex === answer.hostIndex && signalAtMs <= answer.endedAtMs,
    );
    const fault = findFault(fleet, answer, stop, graceMs);
    return fault === undefined ? [] : [formatFault(fault, answer, stop)];
  });
}

function findFault(
  fleet: PlatformFleet,
  answer: Answer,
  stop: Stop | undefined,
  graceMs: number,
): string | undefined {
  const {requestId, status, sentAtMs, endedAtMs} = answer;
  const runs = fleet.runs.get(requestId) ?? [];
  const tookMs = endedAtMs - sentAtMs;
  if (runs.length > 1) return 'run twice';
  if (status === OK) return undefined;
  if (status === NOT_RUN_STATUS) {
    if (runs.length > 0) return 'refused and run';
    const isStopping = stop !== undefined && sentAtMs < stop.exitedAtMs;
    return isStopping && tookMs > AT_ONCE_MS ? 'refused late' : undefined;
  }
  if (stop === undefined) return 'failed on a sound host';
  if (isExcused(fleet, answer, stop, graceMs)) return undefined;
  if (status !== 0 || runs.length > 0) return 'broken off';
  return tookMs > LOSS_SLACK_MS ? 'not answered' : undefined;
}

/** Tells whether a request may be broken off when its daemon stops. */
function isExcused(
  fleet: PlatformFleet,
  {requestId, sentAtMs}: Answer,
  {signalAtMs}: Stop,
  graceMs: number,
): boolean {
  const excusedFromMs = signalAtMs + graceMs * EXCUSED_FROM_SHARE;
  const isAtWork = (fleet.runs.get(requestId) ?? []).some(
    run => run.startedAtMs < excusedFromMs && run.endedAtMs > excusedFromMs,
  );
  return isAtWork && sentAtMs <= signalAtMs + EXCUSED_MS;
}

function formatFault(
  fault: string,
  {hostIndex, status, error, sentAtMs, endedAtMs, requestId}: Answer,
  stop: Stop | undefined,
): string {
  const tookMs = Math.round(endedAtMs - sentAtMs);
  const after =
    stop === undefined
      ? ''
      : `${Math.round(sentAtMs - stop.signalAtMs)} ms after its signal, `;
  return `${fault}: ${requestId} at host ${hostIndex}, ${after}${status} ${error} after ${tookMs} ms`;
}
