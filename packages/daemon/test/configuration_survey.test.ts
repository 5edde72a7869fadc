/**
 * Tests what an operator learns of the configurations in force while some daemons do not answer.
 */
import {Code, ConnectError} from '@connectrpc/connect';
import test from 'ava';

import type {Address} from '@dottereldrift/core/types.js';
import type {Session} from '@dottereldrift/membership/types.js';

import {
  ConfigurationSurvey,
  type SurveyView,
} from '../src/configuration_survey.js';
import type {PeerClient} from '../src/peer_client.js';

const HOSTS = 70;
const SELF = 'h1';

function createSession(index: number): Session {
  return {
    member: {host: `h${index}`, incarnation: 'a'},
    dataCentre: `dc${index % 3}`,
    region: 'r1',
    peerAddress: {ip: '127.0.0.1', port: index},
    callerPort: 1,
    witnesses: [],
    servers: [],
    isEnded: false,
    isLeaving: false,
  };
}

class Fixture {
  asked = 0;
  mostAtOnce = 0;
  private atOnce = 0;
  readonly view: SurveyView = {
    getLiveSessions: () =>
      Array.from({length: HOSTS}, (_, index) => createSession(index + 1)),
    getManifest: () => ({
      generation: 12,
      sourceVersion: 12,
      manifest: {services: {}},
    }),
    getManifestAgeMs: () => 5_000,
    getSilenceMs: () => 200,
  };
  readonly survey = new ConfigurationSurvey(SELF, this.view, {
    getClient: address => this.createClient(address),
  });

  private createClient({port}: Address): PeerClient {
    const describeConfiguration = async () => {
      this.asked += 1;
      this.atOnce += 1;
      this.mostAtOnce = Math.max(this.mostAtOnce, this.atOnce);
      await Promise.resolve();
      this.atOnce -= 1;
      if (port === 2)
        throw new ConnectError('an older version', Code.Unimplemented);
      return {
        generation: port === 3 ? 11n : 12n,
        inForceMs: 4_000,
        storeSilenceMs: 900,
      };
    };
    return {describeConfiguration} as unknown as PeerClient;
  }
}

test('every live daemon is asked, a few at once, and one that does not answer is told', async t => {
  const fixture = new Fixture();
  const rows = await fixture.survey.askFleet();
  t.is(rows.length, HOSTS);
  t.is(fixture.asked, HOSTS - 1);
  t.true(fixture.mostAtOnce <= 32, `${fixture.mostAtOnce} at once`);
  const find = (host: string) => rows.find(row => row.host === host);
  t.deepEqual(find(SELF)?.state, {
    generation: 12,
    inForceMs: 5_000,
    storeSilenceMs: 200,
  });
  t.is(find('h2')?.state, undefined);
  t.regex(find('h2')?.reason ?? '', /an older version/);
  t.is(find('h3')?.state?.generation, 11);
  t.is(find('h4')?.state?.generation, 12);
});
