/** Bundles the program from its sources into target/, for a platform that builds it itself. */
import {execFileSync} from 'node:child_process';
import {copyFileSync, existsSync, mkdirSync} from 'node:fs';

import {build} from 'esbuild';

/** Resolves the packages of the workspace to their sources, so that no compiler has to run before. */
const workspace = {
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
 * Parts of libraries that the program uses, in place of the whole: loading the rest takes a fifth of a
 * start, and a daemon starts again under full traffic.
 */
const PARTS = {
  undici: 'scripts/parts/undici.cjs',
  pino: 'scripts/parts/pino.cjs',
};
const parts = {
  name: 'parts',
  setup(bundler) {
    bundler.onResolve({filter: /^(undici|pino)$/}, ({path}) => ({
      path: `${process.cwd()}/${PARTS[path]}`,
    }));
  },
};

/** Flags of the run command in deploy/system.toml; compiled code fits no others. */
const FLAGS = ['--max-old-space-size=160'];

mkdirSync('target', {recursive: true});
await build({
  entryPoints: ['packages/cli/src/main.ts'],
  outfile: 'target/program.cjs',
  bundle: true,
  // Short names would need a call that names each function again, whenever one is created.
  minifyWhitespace: true,
  minifySyntax: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  external: ['unix-dgram'],
  plugins: [workspace, parts],
  logLevel: 'warning',
});
copyFileSync('scripts/launch.cjs', 'target/dottereldrift.cjs');
execFileSync(
  process.execPath,
  [...FLAGS, 'target/dottereldrift.cjs', '--version'],
  {env: {...process.env, KEEP_CODE: '1'}},
);
