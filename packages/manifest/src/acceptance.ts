/**
 * Decides what becomes of a submitted manifest. A refused one never displaces the one in force, and
 * a generation never goes back.
 */
import * as E from 'fp-ts/lib/Either.js';

import {checkManifest} from './check.js';
import type {AcceptedManifest, ManifestStatus} from './types.js';

/** What is to be written after a submission was judged. */
export interface Judgement {
  /** The manifest to put in force; undefined when the submission is refused. */
  readonly accepted: AcceptedManifest | undefined;
  readonly status: ManifestStatus;
}

/** Judges a submitted manifest against the one in force. */
export function judgeManifest(
  text: string,
  sourceVersion: number,
  inForce: AcceptedManifest | undefined,
): Judgement {
  const generation = inForce?.generation ?? 0;
  const checked = checkManifest(text);
  if (E.isLeft(checked)) {
    const faults = checked.left;
    return {
      accepted: undefined,
      status: {sourceVersion, isAccepted: false, generation, faults},
    };
  }
  const accepted = {
    generation: generation + 1,
    sourceVersion,
    manifest: checked.right,
  };
  return {
    accepted,
    status: {
      sourceVersion,
      isAccepted: true,
      generation: generation + 1,
      faults: [],
    },
  };
}

/** Returns whichever of two manifests has the higher generation. */
export function chooseNewer(
  present: AcceptedManifest | undefined,
  received: AcceptedManifest,
): AcceptedManifest {
  if (present !== undefined && present.generation >= received.generation)
    return present;
  return received;
}
