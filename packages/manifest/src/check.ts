/**
 * Validates JSON values against a schema. Reports all validation errors at once, each with its JSON path, the
 * value found and the values allowed.
 */
import * as E from 'fp-ts/lib/Either.js';
import type * as z from 'zod';

import {getErrorText} from '@dottereldrift/core/errors.js';
import {formatMessage} from '@dottereldrift/core/messages.js';

import type {ValidationError, Manifest} from './types.js';
import {manifestSchema} from './schema.js';

const MAX_SHOWN_VALUE_LENGTH = 60;

/** Validates a parsed JSON value against a schema. */
export function checkValue<T>(
  schema: z.ZodType<T>,
  value: unknown,
): E.Either<readonly ValidationError[], T> {
  const result = schema.safeParse(value);
  if (result.success) return E.right(result.data);
  return E.left(
    result.error.issues.flatMap(issue => createValidationErrors(issue, value)),
  );
}

/** Parses a JSON text and validates it against a schema. */
export function checkText<T>(
  schema: z.ZodType<T>,
  text: string,
  sourceName: string,
): E.Either<readonly ValidationError[], T> {
  try {
    return checkValue(schema, JSON.parse(text));
  } catch (error) {
    const reason = formatMessage('DD1002', {
      path: sourceName,
      reason: getErrorText(error),
    });
    return E.left([{path: '$', reason}]);
  }
}

/** Parses and validates the text of a manifest. */
export function checkManifest(
  text: string,
): E.Either<readonly ValidationError[], Manifest> {
  return checkText(manifestSchema, text, 'manifest');
}

/** Formats a validation error as one line. */
export function formatValidationError(fault: ValidationError): string {
  return formatMessage('DD1003', {
    at: fault.path,
    reason: fault.reason.replace(/\.$/, ''),
  });
}

function createValidationErrors(
  issue: z.core.$ZodIssue,
  root: unknown,
): readonly ValidationError[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => ({
      path: formatPath([...issue.path, key]),
      reason: 'unknown field; remove it or correct its name',
    }));
  }
  const found = formatValue(getValueAt(root, issue.path));
  return [
    {
      path: formatPath(issue.path),
      reason: `found ${found}; ${formatAllowed(issue.message)}`,
    },
  ];
}

/** Reduces the message of the schema library to its allowed values; the value found is reported separately. */
function formatAllowed(message: string): string {
  const allowed = message
    .replace(/^Invalid (input|option): /, '')
    .replace(/, received \w+$/, '')
    .replace(/^Too (small|big): /, '');
  return allowed.charAt(0).toLowerCase() + allowed.slice(1);
}

function formatPath(path: readonly PropertyKey[]): string {
  return path.reduce<string>(
    (text, part) =>
      typeof part === 'number' ? `${text}[${part}]` : `${text}.${String(part)}`,
    '$',
  );
}

function getValueAt(root: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>((value, part) => {
    if (typeof value !== 'object' || value === null) return undefined;
    return (value as Record<PropertyKey, unknown>)[part];
  }, root);
}

function formatValue(value: unknown): string {
  if (value === undefined) return 'nothing';
  const text = JSON.stringify(value);
  return text.length > MAX_SHOWN_VALUE_LENGTH
    ? `${text.slice(0, MAX_SHOWN_VALUE_LENGTH)}...`
    : text;
}
