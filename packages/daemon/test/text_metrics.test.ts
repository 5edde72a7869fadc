/**
 * Tests of metrics in the Prometheus text format.
 */
import test from 'ava';

import {TextMetrics} from '@dottereldrift/core/text_metrics.js';

test('counters, gauges and histograms are read as text', async t => {
  const metrics = new TextMetrics();
  metrics.addCount('requests.failed', 1, {service: 'menu', code: 'DD3011'});
  metrics.addCount('requests.failed', 2, {service: 'menu', code: 'DD3011'});
  metrics.recordGauge('lease.held', 1);
  metrics.recordDurationMs('request', 120, {service: 'menu'});
  const text = await metrics.getText();
  t.snapshot(text.split('\n').filter(line => !line.startsWith('#')));
  metrics.close();
  t.is((await metrics.getText()).trim(), '');
});
