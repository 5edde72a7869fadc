/**
 * Base error class. Each layer subclasses it and converts errors of lower layers into its own.
 */
import ModernError from 'modern-errors';

/** Base class of all errors that this project throws deliberately. */
export const RouterError = ModernError.subclass('RouterError', {
  props: {code: 'DD0000'},
});

/** Returns the message of a thrown value, or its code if the message is empty. */
export function getErrorText(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  const code = (error as {readonly code?: unknown}).code;
  return typeof code === 'string' && error.message === ''
    ? code
    : error.message;
}
