/**
 * Assertions for conditions that only a defect of this program can break.
 */

/** Thrown when an assertion fails. */
export class AssertionError extends Error {
  override readonly name = 'AssertionError';
}

/**
 * Checks a condition that always holds in a correct program.
 *
 * @throws AssertionError when it does not hold.
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
 * Returns the value, which a correct program has defined.
 *
 * @throws AssertionError when it is undefined.
 */
export function assertDefined<T>(value: T | undefined, message: string): T {
  if (value === undefined) throw new AssertionError(message);
  return value;
}
