/**
 * Logs: one line each, with a fixed prefix for each part of the program.
 */
import {Logger} from 'tslog';

/** How log lines are written. */
export type LogFormat = 'json' | 'pretty' | 'hidden';

/** Level below which lines are dropped. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean>>;

/** Writes short sentences. */
export interface Log {
  writeDebug(sentence: string, fields?: LogFields): void;
  writeInfo(sentence: string, fields?: LogFields): void;
  writeWarning(sentence: string, fields?: LogFields): void;
  writeError(sentence: string, fields?: LogFields): void;
  /** Returns a log with the prefix of another part. */
  createPart(prefix: string): Log;
}

const LEVEL_NUMBERS: Readonly<Record<LogLevel, number>> = {
  debug: 2,
  info: 3,
  warn: 4,
  error: 5,
};

class TsLog implements Log {
  constructor(
    private readonly logger: Logger<unknown>,
    private readonly prefix: string,
  ) {}

  writeDebug(sentence: string, fields: LogFields = {}): void {
    this.logger.debug(`[${this.prefix}] ${sentence}`, fields);
  }

  writeInfo(sentence: string, fields: LogFields = {}): void {
    this.logger.info(`[${this.prefix}] ${sentence}`, fields);
  }

  writeWarning(sentence: string, fields: LogFields = {}): void {
    this.logger.warn(`[${this.prefix}] ${sentence}`, fields);
  }

  writeError(sentence: string, fields: LogFields = {}): void {
    this.logger.error(`[${this.prefix}] ${sentence}`, fields);
  }

  createPart(prefix: string): Log {
    return new TsLog(this.logger, prefix);
  }
}

/** Creates a log that writes to standard output. */
export function createLog(
  prefix: string,
  format: LogFormat,
  level: LogLevel,
): Log {
  const logger = new Logger<unknown>({
    type: format,
    minLevel: LEVEL_NUMBERS[level],
    stack: {capture: 'off'},
    pretty: {template: '{{dateIsoStr}} {{logLevelName}} ', style: false},
  });
  return new TsLog(logger, prefix);
}
