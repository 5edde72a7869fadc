/**
 * Operator and callers for tests of configurations: writes versions that each add a route, asks every daemon for
 * these routes again and again, and tells where one came into force late or went out of force.
 */
import type {PlatformFleet} from './platform_fleet.js';

/** Time after its acknowledgement within which a configuration is in force, as the operators set it. */
export const APPLY_BOUND_MS = 2_000;
const ASK_INTERVAL_MS = 50;
const FIRST_ADDED_VERSION = 8;
const VERSION_STEP = 3;
const OK = 200;
const NOT_FOUND = 404;

/** A version that the store acknowledged. */
interface Acknowledgement {
  readonly version: number;
  readonly atMs: number;
  /** When the store lost it. */
  lostAtMs: number;
}

/** What a daemon answered on the route that a version adds. */
interface Sample {
  readonly hostIndex: number;
  /** Counts the processes of the host. */
  readonly life: number;
  readonly version: number;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  readonly status: number;
}

/** Writes versions and asks the daemons for them. */
export class ConfigurationWatch {
  private readonly versions: number[] = [];
  private readonly acknowledgements: Acknowledgement[] = [];
  private readonly samples: Sample[] = [];
  private readonly lives = new Map<number, number>();
  /** When the last process that was started on a host became ready; Infinity until then. */
  private readonly readyAtMs = new Map<number, number>();
  /** Newest version that the present process of a host has served. */
  private readonly served = new Map<number, number>();
  private isStopped = false;
  private loops: Promise<unknown> = Promise.resolve();

  constructor(private readonly fleet: PlatformFleet) {}

  /** Asks the daemons until stopped. */
  start(): void {
    this.loops = Promise.all(
      this.fleet.hosts.map(({index}) => this.askRepeatedly(index)),
    );
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    await this.loops;
  }

  /** Writes the next version and returns it. */
  writeNext(): number {
    const newest = this.versions.at(-1);
    const version =
      newest === undefined ? FIRST_ADDED_VERSION : newest + VERSION_STEP;
    this.versions.push(version);
    this.writeAgain();
    return version;
  }

  /** Writes the newest version again. */
  writeAgain(): void {
    const version = this.versions.at(-1);
    if (version === undefined) throw new Error('No version was written.');
    this.fleet.writeConfiguration(version, this.versions.map(formatRouteName));
    const atMs = performance.now();
    this.acknowledgements.push({version, atMs, lostAtMs: Infinity});
  }

  /** Records that the store lost what it had acknowledged after a time. */
  recordLoss(copiedAtMs: number): void {
    const atMs = performance.now();
    for (const entry of this.acknowledgements)
      if (entry.atMs > copiedAtMs)
        entry.lostAtMs = Math.min(entry.lostAtMs, atMs);
  }

  /** Kills the daemon of a host and starts it again. */
  async restartDaemon(hostIndex: number): Promise<void> {
    await this.fleet.killDaemon(hostIndex);
    this.lives.set(hostIndex, this.getLife(hostIndex) + 1);
    this.served.delete(hostIndex);
    this.readyAtMs.set(hostIndex, Infinity);
    this.fleet.restartDaemon(hostIndex);
  }

  /** Lists for each acknowledgement the time until each daemon served its route. */
  formatDelays(): readonly string[] {
    return this.acknowledgements.map(entry => {
      const delays = this.fleet.hosts.map(({index}) =>
        formatDelay(this.findServed(index, entry), entry),
      );
      return `version ${entry.version}: ${delays.join(', ')}`;
    });
  }

  /** Lists the versions that were not in force in time, and those that went out of force within a process. */
  listFaults(): readonly string[] {
    return [
      ...this.acknowledgements.flatMap(entry => this.listLate(entry)),
      ...this.listRegressions(),
    ];
  }

  /**
   * A version is due if neither its loss nor the end of the test came before its bound. The bound counts from when
   * a daemon that was started became ready.
   */
  private listLate(entry: Acknowledgement): readonly string[] {
    const lastAtMs = Math.max(...this.samples.map(({sentAtMs}) => sentAtMs));
    return this.fleet.hosts.flatMap(({index}) => {
      const readyAtMs = this.readyAtMs.get(index) ?? 0;
      if (readyAtMs === Infinity) return [`host ${index} is not ready`];
      const dueAtMs = Math.max(entry.atMs, readyAtMs) + APPLY_BOUND_MS;
      if (entry.lostAtMs < dueAtMs || lastAtMs < dueAtMs) return [];
      const served = this.findServed(index, entry);
      if (served !== undefined && served.sentAtMs <= dueAtMs) return [];
      const delay = formatDelay(served, entry);
      return [`version ${entry.version} late at host ${index}: ${delay}`];
    });
  }

  private listRegressions(): readonly string[] {
    const faults: string[] = [];
    for (const refused of this.samples) {
      if (refused.status !== NOT_FOUND) continue;
      const served = this.samples.find(
        ({hostIndex, life, version, status, endedAtMs}) =>
          hostIndex === refused.hostIndex &&
          life === refused.life &&
          version === refused.version &&
          status === OK &&
          endedAtMs < refused.sentAtMs,
      );
      if (served === undefined) continue;
      const afterMs = Math.round(refused.sentAtMs - served.endedAtMs);
      faults.push(
        `version ${refused.version} out of force at host ${refused.hostIndex} ${afterMs} ms after it was in force`,
      );
    }
    return faults;
  }

  private findServed(
    hostIndex: number,
    {version, atMs}: Acknowledgement,
  ): Sample | undefined {
    return this.samples.find(
      sample =>
        sample.hostIndex === hostIndex &&
        sample.version >= version &&
        sample.sentAtMs >= atMs &&
        sample.status === OK,
    );
  }

  private async askRepeatedly(hostIndex: number): Promise<void> {
    while (!this.isStopped) {
      if (this.readyAtMs.get(hostIndex) === Infinity)
        await this.askReady(hostIndex);
      const served = this.served.get(hostIndex) ?? 0;
      const asked = this.versions.filter(version => version >= served);
      await Promise.all(asked.map(version => this.ask(hostIndex, version)));
      await new Promise(resolve => setTimeout(resolve, ASK_INTERVAL_MS));
    }
  }

  private async askReady(hostIndex: number): Promise<void> {
    const life = this.getLife(hostIndex);
    const isReady = await this.fleet.isReady(hostIndex);
    if (isReady && this.getLife(hostIndex) === life)
      this.readyAtMs.set(hostIndex, performance.now());
  }

  private async ask(hostIndex: number, version: number): Promise<void> {
    const life = this.getLife(hostIndex);
    const sentAtMs = performance.now();
    const name = formatRouteName(version);
    const status = await this.fleet.askAddedRoute(hostIndex, name);
    const endedAtMs = performance.now();
    if (this.getLife(hostIndex) !== life) return;
    const sample = {hostIndex, life, version, sentAtMs, endedAtMs, status};
    this.samples.push(sample);
    if (status !== OK) return;
    const served = this.served.get(hostIndex) ?? 0;
    this.served.set(hostIndex, Math.max(served, version));
  }

  private getLife(hostIndex: number): number {
    return this.lives.get(hostIndex) ?? 0;
  }
}

function formatRouteName(version: number): string {
  return `v${version}`;
}

function formatDelay(
  served: Sample | undefined,
  {atMs}: Acknowledgement,
): string {
  return served === undefined
    ? 'never'
    : `${Math.round(served.sentAtMs - atMs)} ms`;
}
