/**
 * Tests that the reduced undici module in the bundle exports every value that the program imports.
 * esbuild resolves `undici` to this module, so a missing export would fail only in the bundle.
 */
import {readdirSync, readFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

import test from 'ava';

const ROOT = fileURLToPath(new URL('../../../../', import.meta.url));
const UNDICI_IMPORT = /import \{([^}]*)\} from 'undici';/g;

/** Lists the values that a source file imports from undici; types are absent from the bundle. */
function listImportedValues(source: string): readonly string[] {
  return [...source.matchAll(UNDICI_IMPORT)].flatMap(match =>
    (match[1] ?? '')
      .split(',')
      .map(name => name.trim())
      .filter(name => name !== '' && !name.startsWith('type '))
      .map(name => name.split(' as ')[0] ?? name),
  );
}

test('the reduced undici module in the bundle exports every value that the program imports', t => {
  const require = createRequire(import.meta.url);
  const bundledModule = require(
    join(ROOT, 'scripts/parts/undici.cjs'),
  ) as object;
  const importedNames = readdirSync(join(ROOT, 'packages')).flatMap(name =>
    readdirSync(join(ROOT, 'packages', name, 'src'))
      .filter(file => file.endsWith('.ts'))
      .flatMap(file =>
        listImportedValues(
          readFileSync(join(ROOT, 'packages', name, 'src', file), 'utf8'),
        ),
      ),
  );
  t.true(importedNames.includes('Pool'));
  const missing = importedNames.filter(name => !(name in bundledModule));
  t.deepEqual(missing, []);
});
