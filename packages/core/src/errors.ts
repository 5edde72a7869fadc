/**
 * The root of the error classes. Each layer subclasses it and turns errors from below into its own.
 */
import ModernError from 'modern-errors';

/** Root of every error that this project raises on purpose. */
export const RouterError = ModernError.subclass('RouterError', {
  props: {code: 'DD0000'},
});

/** Returns the text of anything thrown. */
export function getErrorText(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  const code = (error as {readonly code?: unknown}).code;
  return typeof code === 'string' && error.message === ''
    ? code
    : error.message;
}
