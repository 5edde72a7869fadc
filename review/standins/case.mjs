/** Runs a case: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
import process from 'node:process';

import {Deployment, Recorder} from './deployment.mjs';

/** Whether the disruption of the case is brought about. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

const BROKEN = 1;
const NOT_RUN = 2;

/** Returns a small generator of numbers from 0 to 1, for drawing the same faults again. */
export function createRandom(seed) {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

/**
 * Plays a case in a deployment, which it stops whatever happens.
 * @param play resolves to `{isRun, violations, summary}`.
 */
export async function runCase(folder, play) {
  const recorder = new Recorder(folder);
  const deployment = new Deployment(recorder);
  let exitCode = NOT_RUN;
  // The time limit of `run.sh` sends SIGTERM: the daemons must not outlive the case.
  process.once('SIGTERM', () => {
    for (const {daemon} of deployment.machines) daemon.kill('SIGKILL');
    recorder.write();
    process.exit(NOT_RUN);
  });
  try {
    const {isRun, violations, summary} = await play(deployment, recorder);
    recorder.add('result', {isRun, violations: violations.length, summary});
    if (isRun) exitCode = violations.length > 0 ? BROKEN : 0;
    process.stdout.write(
      `${JSON.stringify({trouble: HAS_TROUBLE, isRun, violations: violations.length, first: violations.slice(0, 3), ...summary})}\n`,
    );
  } catch (error) {
    recorder.add('error', {reason: String(error.stack)});
    process.stdout.write(`the case could not run: ${error.stack}\n`);
  } finally {
    await deployment.stop();
    recorder.write();
  }
  process.exitCode = exitCode;
}
