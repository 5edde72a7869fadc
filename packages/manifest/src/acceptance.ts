/**
 * Decides whether a submitted manifest is accepted. A rejected manifest never replaces the one in force, and
 * generations never decrease.
 */
import * as E from 'fp-ts/lib/Either.js';

import {checkManifest} from './check.js';
import type {AcceptedManifest, ManifestStatus} from './types.js';

/** A manifest as submitted by an operator. */
export interface SubmittedManifest {
  readonly text: string;
  /** Version of the submitted object in the store. */
  readonly version: number;
}

/** Objects to write after a submission was evaluated. */
export interface ManifestDecision {
  /** The manifest to put in force, or undefined if the one in force stays. */
  readonly accepted: AcceptedManifest | undefined;
  readonly status: ManifestStatus;
}

/**
 * Evaluates a submitted manifest, given the one in force and the last status. Returns undefined if the
 * submission has been fully processed already.
 */
export function evaluateManifest(
  submitted: SubmittedManifest,
  inForce: AcceptedManifest | undefined,
  status: ManifestStatus | undefined,
): ManifestDecision | undefined {
  const sourceVersion = submitted.version;
  const generation = inForce?.generation ?? 0;
  if (sourceVersion <= (status?.sourceVersion ?? 0)) return undefined;
  if (inForce !== undefined && inForce.sourceVersion >= sourceVersion) {
    // The manifest was put in force, but the write of its status failed.
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

/** Returns the manifest with the higher generation. */
export function chooseNewer(
  current: AcceptedManifest | undefined,
  received: AcceptedManifest,
): AcceptedManifest {
  if (current !== undefined && current.generation >= received.generation)
    return current;
  return received;
}
