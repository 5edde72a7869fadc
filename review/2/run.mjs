/**
 * LOST: a daemon gets SIGTERM while its server works on a long request. Counted are the requests that it took from its
 * clients later than 3 s after the SIGTERM, passed on to sound servers on other machines, and broke off.
 */
import {Buffer} from 'node:buffer';
import {clearTimeout, setTimeout} from 'node:timers';
import {fileURLToPath, URL} from 'node:url';

import {Caller} from '../standins/caller.mjs';
import {HAS_TROUBLE, runCase} from '../standins/case.mjs';
import {createConfig, sleep} from '../standins/deployment.mjs';

const GRACE_MS = 6_000;
/** Requests sent by then may be broken off in the last sixth of the grace period. */
const EXCUSED_MS = 3_000;
const LONG_WORK_MS = 6_000;
const SEND_EVERY_MS = 20;

await runCase(
  fileURLToPath(new URL('.', import.meta.url)),
  async (deployment, recorder) => {
    const config = createConfig(
      7,
      {stock: {}, pay: {}},
      {
        stock: {
          service: 'stock',
          kind: 'unsafe',
          timeout_ms: 6260,
          goal_ms: 1043,
        },
        pay: {service: 'pay', kind: 'unsafe', timeout_ms: 2000, goal_ms: 600},
      },
    );
    // One daemon a zone: its clients get new work also while it isn't ready, as fewer than half of the zone are in.
    const machines = await deployment.start(['stock', 'pay', 'pay'], {
      config,
      serverOptions: {stock: {workMs: LONG_WORK_MS}, pay: {workMs: 150}},
    });
    if (!(await deployment.waitReady()))
      return {isRun: false, violations: [], summary: {reason: 'not ready'}};
    await sleep(4_000);

    const [stopped] = machines;
    const caller = new Caller(stopped.outbound, recorder.add);
    const sent = [];
    let isSending = true;
    const send = (service, deadlineMs) =>
      caller.send({
        method: 'POST',
        authority: `${service}.example`,
        path: `/${service}/${sent.length}`,
        deadlineMs,
        body: Buffer.from('one order'),
      });
    const traffic = (async () => {
      while (isSending) {
        sent.push(send('pay', 2000));
        await sleep(SEND_EVERY_MS);
      }
    })();
    await sleep(1_000);
    const long = send('stock', 6260);
    await sleep(200);

    recorder.add('sigterm', {});
    const termAt = recorder.lines.at(-1).atMs;
    let endedAfterMs = 0;
    if (HAS_TROUBLE) {
      const {daemon} = stopped;
      const ended = new Promise(resolve => daemon.once('exit', resolve));
      daemon.kill('SIGTERM');
      const timer = setTimeout(() => daemon.kill('SIGKILL'), GRACE_MS);
      await ended;
      clearTimeout(timer);
      recorder.add('ended', {});
      endedAfterMs = recorder.lines.at(-1).atMs - termAt;
    } else await sleep(GRACE_MS);
    isSending = false;
    await traffic;
    const results = await Promise.all(sent);
    const longResult = await long;
    await sleep(500);
    caller.close();

    const sentAt = new Map(
      recorder.find('sent').map(({id, atMs}) => [id, atMs]),
    );
    const runAt = new Map(recorder.find('run').map(({id, atMs}) => [id, atMs]));
    const lost = results.filter(
      ({id, status, isWhole, tookMs}) =>
        (status === 0 || isWhole !== true) &&
        runAt.has(id) &&
        tookMs < 2000 &&
        sentAt.get(id) > termAt + EXCUSED_MS,
    );
    const served = results.filter(({status}) => status === 200).length;
    return {
      isRun: served > 100,
      violations: lost.map(({id, error}) => ({
        rule: 'LOST',
        id,
        error,
        sentAfterTermMs: sentAt.get(id) - termAt,
        runAfterTermMs: runAt.get(id) - termAt,
      })),
      summary: {
        requests: results.length,
        served,
        endedAfterMs,
        long: longResult.status,
        lost: lost.length,
      },
    };
  },
);
