/**
 * Starts, pauses and ends the processes of a test fleet. Only processes started here are ended.
 */
import {type ChildProcess, spawn} from 'node:child_process';
import {appendFileSync} from 'node:fs';

const START_TIMEOUT_MS = 20_000;
const MAX_KEPT_OUTPUT = 20_000;

/** A process of the fleet. */
export class FleetProcess {
  private output = '';
  private readonly child: ChildProcess;
  private readonly ended: Promise<number | null>;

  constructor(
    readonly name: string,
    command: readonly string[],
    /** File to which the whole output is appended; none when absent. */
    private readonly logPath?: string,
  ) {
    this.child = spawn(process.execPath, [...command], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child.stdout?.on('data', chunk => {
      this.addOutput(String(chunk));
    });
    this.child.stderr?.on('data', chunk => {
      this.addOutput(String(chunk));
    });
    this.ended = new Promise(resolve => {
      this.child.once('exit', code => {
        resolve(code);
      });
    });
  }

  /** Returns the process id. */
  getPid(): number {
    return this.child.pid ?? 0;
  }

  getOutput(): string {
    return this.output;
  }

  isRunning(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /** Waits until the output contains a text. */
  async waitForOutput(text: string): Promise<void> {
    const endMs = Date.now() + START_TIMEOUT_MS;
    while (!this.output.includes(text)) {
      if (!this.isRunning() || Date.now() > endMs) {
        throw new Error(
          `${this.name} did not print "${text}":\n${this.output}`,
        );
      }
      await new Promise(resolve => setTimeout(resolve, 10));
    }
  }

  /** Sends a signal. */
  signal(signal: NodeJS.Signals): void {
    if (this.isRunning()) this.child.kill(signal);
  }

  /** Waits for the end; the exit code, or null after a signal. */
  waitForEnd(): Promise<number | null> {
    return this.ended;
  }

  /** Ends the process at once. */
  async kill(): Promise<void> {
    if (!this.isRunning()) return;
    this.child.kill('SIGKILL');
    await this.ended;
  }

  private addOutput(text: string): void {
    if (this.logPath !== undefined) appendFileSync(this.logPath, text);
    this.output = (this.output + text).slice(-MAX_KEPT_OUTPUT);
  }
}
