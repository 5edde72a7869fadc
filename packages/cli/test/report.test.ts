/**
 * Tests the report on error budget burn from counts taken in virtual time, as a table and as HTML.
 */
import test from 'ava';

import {VirtualSystem} from '@dottereldrift/core/virtual_system.js';
import {BurnReport} from '@dottereldrift/daemon/burn_report.js';
import type {AttemptResult, Exchange} from '@dottereldrift/daemon/exchange.js';

import {formatReportPage} from '../src/report_html.js';
import {formatReport} from '../src/tables.js';

const MINUTE_MS = 60_000;

function createExchange(system: VirtualSystem, kind: string): Exchange {
  return {
    target: {service: 'menu', key: undefined, path: '/'},
    kind: {name: kind, objective: 0.99},
    deadlineAtMs: system.getNow().monotonicMs + 100,
  } as unknown as Exchange;
}

function createResult(status: number): AttemptResult {
  return {kind: 'answered', status, isTruncated: false};
}

/** Creates a report on seven hours: reads fail only in the last ten minutes, and 7% of writes fail. */
function createReport(): BurnReport {
  const system = new VirtualSystem(() => 0.5);
  const report = new BurnReport(system);
  for (let minute = 0; minute < 420; minute++) {
    system.runUntil(minute * MINUTE_MS);
    const readStatus = minute < 410 ? 200 : 500;
    for (let count = 0; count < 10; count++)
      report.observe(createExchange(system, 'read'), createResult(readStatus));
    for (let count = 0; count < 100; count++) {
      const status = count < 7 ? 503 : 200;
      report.observe(createExchange(system, 'write'), createResult(status));
    }
  }
  return report;
}

test('windows, levels and plots follow from the counts', t => {
  const value = createReport().readReport();
  t.snapshot(formatReport(value));
  t.snapshot(formatReportPage(value));
});

test('the counts are bounded, and an answer after the deadline is bad', t => {
  const [read] = createReport().readReport();
  t.is(read?.points.length, 72);
  t.is(read?.windows[3]?.good, 3_500);
  const system = new VirtualSystem(() => 0.5);
  const report = new BurnReport(system);
  const exchange = createExchange(system, 'read');
  system.runUntil(101);
  report.observe(exchange, createResult(200));
  t.is(report.readReport()[0]?.windows[0]?.bad, 1);
});
