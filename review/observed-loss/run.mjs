/**
 * RECOVER: four of five machines are removed for good at the same moment, and four new ones come at other addresses.
 * Counted is how many of the requests are served that are sent later than `recover_s` after the new ones are back.
 */
import {Buffer} from 'node:buffer';
import {fileURLToPath, URL} from 'node:url';

import {Caller} from '../standins/caller.mjs';
import {createRandom, HAS_TROUBLE, runCase} from '../standins/case.mjs';
import {createConfig, sleep} from '../standins/deployment.mjs';

const LOST_MACHINES = 4;
/** Pause before the new machines come, as `x` of `replace_core`. */
const REPLACED_AFTER_MS = 2_000;
const RECOVER_MS = 15_000;
const OBSERVED_REQUESTS = 500;
const SEND_EVERY_MS = 40;
const KEYS = 65_536;

const random = createRandom(4);

async function sendRequests(callers, count) {
  const sent = [];
  for (let index = 0; index < count; index++) {
    const caller = callers[index % callers.length];
    const request =
      index % 2 === 0
        ? {
            authority: 'menu.example',
            path: '/menu/1',
            key: Math.floor(random() * KEYS),
          }
        : {
            method: 'POST',
            authority: 'pay.example',
            path: '/pay/1',
            body: Buffer.from('one charge'),
          };
    sent.push(caller.send({deadlineMs: 1000, ...request}));
    await sleep(SEND_EVERY_MS);
  }
  const results = await Promise.all(sent);
  const count200 = results.filter(({status}) => status === 200).length;
  return {share: count200 / results.length, results};
}

await runCase(
  fileURLToPath(new URL('.', import.meta.url)),
  async (deployment, recorder) => {
    const config = createConfig(
      7,
      {menu: {sharded: true, warmup_s: 5, grants: 'heartbeat'}, pay: {}},
      {
        menu: {service: 'menu', kind: 'safe', timeout_ms: 1000},
        pay: {service: 'pay', kind: 'unsafe', timeout_ms: 1000},
      },
    );
    const machines = await deployment.start(
      ['menu', 'pay', 'menu', 'menu', 'pay'],
      {config},
    );
    if (!(await deployment.waitReady()))
      return {isRun: false, violations: [], summary: {reason: 'not ready'}};
    await sleep(5_000);
    const first = machines.slice();
    const callers = first.map(
      ({outbound}) => new Caller(outbound, recorder.add),
    );
    const before = await sendRequests(callers, 100);
    for (const caller of callers) caller.close();

    if (HAS_TROUBLE) {
      const lost = first.slice(0, LOST_MACHINES);
      for (const machine of lost) deployment.removeMachine(machine);
      await sleep(REPLACED_AFTER_MS);
      for (const [index, machine] of lost.entries())
        await deployment.addReplacement(machine, index);
    }
    const present = deployment.machines.filter(({isGone}) => isGone !== true);
    const isReady = await deployment.waitReady(present, 20_000);
    recorder.add('machines-back', {isReady});
    await sleep(RECOVER_MS + 500);
    const later = present.map(
      ({outbound}) => new Caller(outbound, recorder.add),
    );
    const after = await sendRequests(later, OBSERVED_REQUESTS);
    for (const caller of later) caller.close();

    const isBroken = before.share >= 0.25 && after.share < 0.25;
    const statuses = {};
    for (const {status} of after.results)
      statuses[status] = (statuses[status] ?? 0) + 1;
    return {
      isRun: before.share >= 0.9,
      violations: isBroken ? [{rule: 'RECOVER', servedShare: after.share}] : [],
      summary: {
        servedBefore: before.share,
        servedAfter: after.share,
        statuses,
        areReady: isReady,
      },
    };
  },
);
