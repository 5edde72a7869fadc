/**
 * Assertions for conditions that can only be violated by a bug in this program.
 */

/** Thrown when an assertion fails. */
export class AssertionError extends Error {
  override readonly name = 'AssertionError';
}

/**
 * Asserts that an invariant holds.
 *
 * @throws AssertionError if the condition is false.
 */
export function assertThat(
  condition: boolean,
  message: string,
): asserts condition {
  if (!condition) throw new AssertionError(message);
}

/**
 * Marks a branch that the type checker proves unreachable.
 *
 * @throws AssertionError always.
 */
export function assertNever(value: never): never {
  throw new AssertionError(`Unexpected value ${JSON.stringify(value)}.`);
}

/**
 * Returns the value, asserting that it is defined.
 *
 * @throws AssertionError if the value is undefined.
 */
export function assertDefined<T>(value: T | undefined, message: string): T {
  if (value === undefined) throw new AssertionError(message);
  return value;
}
