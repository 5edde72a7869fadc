/**
 * TWICE: the server of `pay` sheds some requests (`503`, `Not-Run`) and sends a second answer beside 3 in 100 of
 * its answers, late: at the point where the next response on that connection is expected.
 */
import {Buffer} from 'node:buffer';
import {fileURLToPath, URL} from 'node:url';

import {Caller} from '../standins/caller.mjs';
import {createRandom, HAS_TROUBLE, runCase} from '../standins/case.mjs';
import {createConfig, sleep} from '../standins/deployment.mjs';

const WINDOWS = 16;
const WINDOW_MS = 5_000;
const PAUSE_MS = 500;
const SEND_EVERY_MS = 45;
const SHED_SHARE = 0.25;
const EXTRA_SHARE = 0.03;

const random = createRandom(1);

await runCase(
  fileURLToPath(new URL('.', import.meta.url)),
  async (deployment, recorder) => {
    const config = createConfig(
      7,
      {menu: {}, stock: {}, pay: {}},
      {pay: {service: 'pay', kind: 'unsafe', timeout_ms: 1000, goal_ms: 250}},
    );
    const machines = await deployment.start(['menu', 'stock', 'pay'], {
      config,
      serverOptions: {pay: {workMs: 15}},
    });
    if (!(await deployment.waitReady()))
      return {isRun: false, violations: [], summary: {reason: 'not ready'}};
    await sleep(3_000);

    let isFaulty = false;
    let answers = 0;
    let extras = 0;
    const server = machines.find(({service}) => service === 'pay').server;
    const addExtra = (socket, id, text) => {
      answers += 1;
      if (!isFaulty || random() >= EXTRA_SHARE) return;
      extras += 1;
      socket.lateExtra = {id, text};
    };
    server.onArrival = (request, response) => {
      const {socket} = request;
      const id = request.headers['request-id'];
      if (socket.lateExtra !== undefined) {
        recorder.add('extra', {id: socket.lateExtra.id, atRequest: id});
        socket.write(socket.lateExtra.text);
        socket.lateExtra = undefined;
      }
      if (!isFaulty || random() >= SHED_SHARE) return false;
      addExtra(
        socket,
        id,
        `HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nRequest-Id: ${id}\r\nContent-Length: 0\r\n\r\n`,
      );
      request.resume();
      server.refuse(request, response, 503);
      return true;
    };
    server.onBegin = ({request, id}) => {
      const text = `answer to ${id}`;
      addExtra(
        request.socket,
        id,
        `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nServer-Seal: seal.${id}\r\nContent-Length: ${text.length}\r\n\r\n${text}`,
      );
      return false;
    };

    const callers = machines.map(
      ({outbound}) => new Caller(outbound, recorder.add),
    );
    const results = [];
    for (let window = 0; window < WINDOWS; window++) {
      isFaulty = HAS_TROUBLE;
      const sent = [];
      for (let index = 0; index < WINDOW_MS / SEND_EVERY_MS; index++) {
        const caller = callers[index % callers.length];
        sent.push(
          caller.send({
            method: 'POST',
            authority: 'pay.example',
            path: `/pay/${window}/${index}`,
            deadlineMs: 1000,
            body: Buffer.from('one charge'),
          }),
        );
        await sleep(SEND_EVERY_MS);
      }
      results.push(...(await Promise.all(sent)));
      isFaulty = false;
      await sleep(PAUSE_MS);
    }
    for (const caller of callers) caller.close();

    const runs = new Map();
    for (const {id} of recorder.find('run'))
      runs.set(id, (runs.get(id) ?? 0) + 1);
    const twice = results.filter(({id}) => (runs.get(id) ?? 0) > 1);
    const refusedButRun = results.filter(
      ({id, status}) => [408, 421, 429, 503].includes(status) && runs.has(id),
    );
    const violations = [
      ...twice.map(({id, status}) => ({
        rule: 'TWICE',
        id,
        status,
        runs: runs.get(id),
      })),
      ...refusedButRun.map(({id, status}) => ({
        rule: 'REFUSED',
        id,
        status,
        runs: runs.get(id),
      })),
    ];
    const served = results.filter(({status}) => status === 200).length;
    return {
      isRun: served > results.length / 10,
      violations,
      summary: {
        requests: results.length,
        served,
        answers,
        extras,
        twice: twice.length,
        refusedButRun: refusedButRun.length,
      },
    };
  },
);
