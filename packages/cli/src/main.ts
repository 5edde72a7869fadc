/**
 * Entry point of the command-line program.
 */
import {runCli} from './cli.js';

runCli(process.argv);
