/** Creates the single executable dist/dottereldrift from the bundle and the running Node.js binary. */
import {execFileSync} from 'node:child_process';
import {chmodSync, copyFileSync, readFileSync, writeFileSync} from 'node:fs';

import {inject} from 'postject';

const SENTINEL_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';
const target = 'dist/dottereldrift';

writeFileSync(
  'dist/sea.json',
  JSON.stringify({
    main: 'dist/dottereldrift.cjs',
    output: 'dist/sea.blob',
    disableExperimentalSEAWarning: true,
  }),
);
execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea.json'], {
  stdio: 'inherit',
});
copyFileSync(process.execPath, target);
chmodSync(target, 0o755);
await inject(target, 'NODE_SEA_BLOB', readFileSync('dist/sea.blob'), {
  sentinelFuse: SENTINEL_FUSE,
});
