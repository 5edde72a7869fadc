/**
 * Periodically samples the manifest generations and assignments of the daemons and the store of a virtual deployment.
 */
import {createHash} from 'node:crypto';

import * as E from 'fp-ts/lib/Either.js';

import {
  type AssignmentSample,
  type ConfigurationSample,
  STORE_OBSERVER,
} from '@dottereldrift/bench/violations.js';
import {ACCEPTED_MANIFEST_KEY} from '@dottereldrift/daemon/store_view.js';
import type {AcceptedManifest} from '@dottereldrift/manifest/types.js';
import {
  encodeAssignment,
  getAssignmentKey,
  parseAssignment,
} from '@dottereldrift/ownership/assignment_record.js';
import type {MemoryStore} from '@dottereldrift/store/memory_store.js';

import type {VirtualClock} from './virtual_clock.js';
import type {VirtualDaemon} from './virtual_daemon.js';

const SAMPLE_INTERVAL_MS = 250;

/** A host whose daemon is sampled. */
export interface SampledHost {
  readonly name: string;
  readonly daemon: VirtualDaemon;
}

/** Collects samples until the run ends. */
export class VirtualSampler {
  readonly configurations: ConfigurationSample[] = [];
  readonly assignments: AssignmentSample[] = [];

  constructor(
    private readonly clock: VirtualClock,
    private readonly service: string,
    private readonly memory: MemoryStore,
    private readonly listHosts: () => readonly SampledHost[],
  ) {}

  start(): void {
    this.sampleAll();
    this.clock.startTimer(SAMPLE_INTERVAL_MS, () => {
      this.start();
    });
  }

  /** Records an assignment that an observer reported. */
  addAssignment(observer: string, value: Uint8Array): void {
    const {service, generation} = parseAssignment(value);
    const digest = createHash('sha256').update(value).digest('base64url');
    this.assignments.push({observer, service, generation, digest});
  }

  private sampleAll(): void {
    const atMs = this.clock.getNow().monotonicMs;
    for (const {name, daemon} of this.listHosts()) {
      const view = daemon.getView();
      const generation = view.getManifest()?.generation ?? 0;
      this.configurations.push({host: name, atMs, generation});
      for (const {assignment} of view.getAssignments())
        this.addAssignment(name, encodeAssignment(assignment));
    }
    void this.sampleStore(atMs);
  }

  private async sampleStore(atMs: number): Promise<void> {
    const accepted = await this.memory.getObject(ACCEPTED_MANIFEST_KEY)();
    if (E.isRight(accepted) && accepted.right !== undefined) {
      const text = Buffer.from(accepted.right.value).toString('utf8');
      const {generation} = JSON.parse(text) as AcceptedManifest;
      this.configurations.push({host: STORE_OBSERVER, atMs, generation});
    }
    const key = getAssignmentKey(this.service);
    const assignment = await this.memory.getObject(key)();
    if (E.isRight(assignment) && assignment.right !== undefined)
      this.addAssignment(STORE_OBSERVER, assignment.right.value);
  }
}
