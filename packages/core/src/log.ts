/**
 * Structured logging. Each line has the prefix of the component that wrote it.
 */
import {Logger} from 'tslog';

/** Output format of log lines. */
export type LogFormat = 'json' | 'pretty' | 'hidden';

/** Minimum level of the lines that are written. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean>>;

/** Writes log lines. */
export interface Log {
  writeDebug(message: string, fields?: LogFields): void;
  writeInfo(message: string, fields?: LogFields): void;
  writeWarning(message: string, fields?: LogFields): void;
  writeError(message: string, fields?: LogFields): void;
  /** Returns a log with the same output and another prefix. */
  createChild(prefix: string): Log;
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

  writeDebug(message: string, fields: LogFields = {}): void {
    this.logger.debug(`[${this.prefix}] ${message}`, fields);
  }

  writeInfo(message: string, fields: LogFields = {}): void {
    this.logger.info(`[${this.prefix}] ${message}`, fields);
  }

  writeWarning(message: string, fields: LogFields = {}): void {
    this.logger.warn(`[${this.prefix}] ${message}`, fields);
  }

  writeError(message: string, fields: LogFields = {}): void {
    this.logger.error(`[${this.prefix}] ${message}`, fields);
  }

  createChild(prefix: string): Log {
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
