/**
 * The command line of the program.
 */
import {runCli} from './cli.js';

runCli(process.argv);
