/** Bundles the program from its TypeScript sources into target/, for platforms that run the build themselves. */
import {execFileSync} from 'node:child_process';
import {copyFileSync, existsSync, mkdirSync} from 'node:fs';

import {build} from 'esbuild';

import {BUNDLE_OPTIONS} from './bundle_options.mjs';

/** Resolves workspace packages to their TypeScript sources, so that they need not be compiled first. */
const workspacePlugin = {
  name: 'workspace',
  setup(bundler) {
    bundler.onResolve({filter: /^@dottereldrift\//}, ({path}) => {
      const [, name, file] = /^@dottereldrift\/([^/]+)\/(.*)\.js$/.exec(path);
      const source = `${process.cwd()}/packages/${name}/src/${file}.ts`;
      return existsSync(source) ? {path: source} : undefined;
    });
  },
};

/**
 * Replacements for libraries of which the program uses only a part or nothing. Loading the rest takes a fifth of
 * the start-up time, and a daemon has to restart under full traffic.
 */
const PARTIAL_LIBRARIES = {
  undici: 'scripts/parts/undici.cjs',
  pino: 'scripts/parts/pino.cjs',
  '@fastify/ajv-compiler': 'scripts/parts/unused.cjs',
  '@fastify/fast-json-stringify-compiler': 'scripts/parts/unused.cjs',
  'light-my-request': 'scripts/parts/unused.cjs',
};
const partialLibrariesPlugin = {
  name: 'parts',
  setup(bundler) {
    const names = Object.keys(PARTIAL_LIBRARIES).join('|');
    bundler.onResolve({filter: new RegExp(`^(${names})$`)}, ({path}) => ({
      path: `${process.cwd()}/${PARTIAL_LIBRARIES[path]}`,
    }));
  },
};

/** Flags of the run command in deploy/system.toml; Node.js rejects the code cache under other flags. */
const NODE_FLAGS = [
  '--max-old-space-size=160',
  '--no-wasm-tier-up',
  '--no-wasm-dynamic-tiering',
];

mkdirSync('target', {recursive: true});
await build({
  ...BUNDLE_OPTIONS,
  entryPoints: ['packages/cli/src/main.ts'],
  outfile: 'target/program.cjs',
  plugins: [workspacePlugin, partialLibrariesPlugin],
});
copyFileSync('scripts/launch.cjs', 'target/dottereldrift.cjs');
execFileSync(
  process.execPath,
  [...NODE_FLAGS, 'target/dottereldrift.cjs', '--version'],
  {env: {...process.env, KEEP_CODE: '1'}},
);
