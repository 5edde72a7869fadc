/** Bundles the command-line program into a single CommonJS file, dist/dottereldrift.cjs. */
import {build} from 'esbuild';

await build({
  entryPoints: ['packages/cli/dist/src/main.js'],
  outfile: 'dist/dottereldrift.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  external: ['unix-dgram'],
  logLevel: 'warning',
});
