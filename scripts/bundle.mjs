/** Bundles the command-line program into a single CommonJS file, dist/dottereldrift.cjs. */
import {build} from 'esbuild';

import {BUNDLE_OPTIONS} from './bundle_options.mjs';

await build({
  ...BUNDLE_OPTIONS,
  entryPoints: ['packages/cli/dist/src/main.js'],
  outfile: 'dist/dottereldrift.cjs',
});
