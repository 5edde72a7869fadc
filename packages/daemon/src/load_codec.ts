/**
 * Converts load reports to and from protobuf messages.
 */
import {create} from '@bufbuild/protobuf';

import {parseMember} from '@dottereldrift/membership/session_record.js';
import type {LoadReport} from '@dottereldrift/ownership/load_types.js';
import {
  type ReportLoadRequest,
  ReportLoadRequestSchema,
} from '@dottereldrift/rpc/gen/dottereldrift/v1/peer_pb.js';

/** Encodes a load report as a message. */
export function encodeReport(report: LoadReport): ReportLoadRequest {
  const {segments, hotPositions} = report;
  return create(ReportLoadRequestSchema, {
    service: report.service,
    owner: report.owner,
    settledToken: BigInt(report.settledToken),
    firstPositions: segments.map(segment => segment.start),
    lastPositions: segments.map(segment => segment.end - 1),
    rates: segments.map(segment => segment.rate),
    restDensity: report.restDensity,
    hotPositions: hotPositions.map(hot => hot.position),
    hotRates: hotPositions.map(hot => hot.rate),
    capacity: report.capacity ?? 0,
  });
}

/** Parses the message of a load report. Negative, infinite and NaN rates count as 0. */
export function parseReport(message: ReportLoadRequest): LoadReport {
  return {
    service: message.service,
    owner: parseMember(message.owner),
    settledToken: Number(message.settledToken),
    segments: message.firstPositions.map((start, index) => ({
      start,
      end: Math.max(start, message.lastPositions[index] ?? 0) + 1,
      rate: parseRate(message.rates[index]),
    })),
    restDensity: parseRate(message.restDensity),
    hotPositions: message.hotPositions.map((position, index) => ({
      position,
      rate: parseRate(message.hotRates[index]),
    })),
    ...(parseRate(message.capacity) > 0 ? {capacity: message.capacity} : {}),
  };
}

function parseRate(rate: number | undefined): number {
  return rate !== undefined && Number.isFinite(rate) && rate > 0 ? rate : 0;
}
