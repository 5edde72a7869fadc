/**
 * Decides what becomes of a submitted manifest. A refused one never displaces the one in force, and
 * a generation never goes back.
 */
import * as E from 'fp-ts/lib/Either.js';

import {checkManifest} from './check.js';
import type {AcceptedManifest, ManifestStatus} from './types.js';

/** A manifest as an operator submitted it. */
export interface SubmittedManifest {
  readonly text: string;
  /** Version of its object. */
  readonly version: number;
}

/** What is to be written after a submission was judged. */
export interface Judgement {
  /** The manifest to put in force; undefined when there is none to put in force. */
  readonly accepted: AcceptedManifest | undefined;
  readonly status: ManifestStatus;
}

/**
 * Judges a submitted manifest against the one in force and the last status. Undefined when all that
 * follows from the submission has been written already.
 */
export function judgeManifest(
  submitted: SubmittedManifest,
  inForce: AcceptedManifest | undefined,
  status: ManifestStatus | undefined,
): Judgement | undefined {
  const sourceVersion = submitted.version;
  const generation = inForce?.generation ?? 0;
  if (sourceVersion <= (status?.sourceVersion ?? 0)) return undefined;
  if (inForce !== undefined && inForce.sourceVersion >= sourceVersion) {
    // It was put in force, and then the status was not written.
    return {
      accepted: undefined,
      status: createAcceptedStatus(inForce.sourceVersion, generation),
    };
  }
  const checked = checkManifest(submitted.text);
  if (E.isLeft(checked)) {
    const faults = checked.left;
    return {
      accepted: undefined,
      status: {sourceVersion, isAccepted: false, generation, faults},
    };
  }
  return {
    accepted: {
      generation: generation + 1,
      sourceVersion,
      manifest: checked.right,
    },
    status: createAcceptedStatus(sourceVersion, generation + 1),
  };
}

function createAcceptedStatus(
  sourceVersion: number,
  generation: number,
): ManifestStatus {
  return {sourceVersion, isAccepted: true, generation, faults: []};
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
