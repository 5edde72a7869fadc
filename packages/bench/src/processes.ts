/**
 * Starts and signals the child processes of a test fleet. Signals go only to processes started here.
 */
import {type ChildProcess, spawn} from 'node:child_process';
import {appendFileSync} from 'node:fs';

const START_TIMEOUT_MS = 20_000;
const MAX_OUTPUT_CHARS = 20_000;

/** A Node.js child process of a fleet, whose output is captured. */
export class FleetProcess {
  private output = '';
  private readonly child: ChildProcess;
  private readonly exited: Promise<number | null>;

  constructor(
    readonly name: string,
    command: readonly string[],
    /** File to which the complete output is appended, if given. */
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
    this.exited = new Promise(resolve => {
      this.child.once('exit', code => {
        resolve(code);
      });
    });
  }

  getPid(): number {
    return this.child.pid ?? 0;
  }

  getOutput(): string {
    return this.output;
  }

  isRunning(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /** Waits until the output contains a text; fails if the process exits or the start times out. */
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

  /** Sends a signal if the process is still running. */
  signal(signal: NodeJS.Signals): void {
    if (this.isRunning()) this.child.kill(signal);
  }

  /** Waits until the process exits; resolves to its exit code, or null if a signal ended it. */
  waitForExit(): Promise<number | null> {
    return this.exited;
  }

  /** Kills the process with SIGKILL and waits until it has exited. */
  async kill(): Promise<void> {
    if (!this.isRunning()) return;
    this.child.kill('SIGKILL');
    await this.exited;
  }

  private addOutput(text: string): void {
    if (this.logPath !== undefined) appendFileSync(this.logPath, text);
    this.output = (this.output + text).slice(-MAX_OUTPUT_CHARS);
  }
}
