/**
 * The parts of libraries that the target is bundled with have all that the program takes from them.
 */
import {readdirSync, readFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

import test from 'ava';

const ROOT = fileURLToPath(new URL('../../../../', import.meta.url));
const IMPORT = /import \{([^}]*)\} from 'undici';/g;

/** Returns the values that a source takes from the HTTP client; types are gone in the target. */
function listTaken(source: string): readonly string[] {
  return [...source.matchAll(IMPORT)].flatMap(match =>
    (match[1] ?? '')
      .split(',')
      .map(name => name.trim())
      .filter(name => name !== '' && !name.startsWith('type '))
      .map(name => name.split(' as ')[0] ?? name),
  );
}

test('the part of the HTTP client in the target has what the program takes from it', t => {
  const require = createRequire(import.meta.url);
  const part = require(join(ROOT, 'scripts/parts/undici.cjs')) as object;
  const taken = readdirSync(join(ROOT, 'packages')).flatMap(name =>
    readdirSync(join(ROOT, 'packages', name, 'src'))
      .filter(file => file.endsWith('.ts'))
      .flatMap(file =>
        listTaken(
          readFileSync(join(ROOT, 'packages', name, 'src', file), 'utf8'),
        ),
      ),
  );
  t.true(taken.includes('Pool'));
  const missing = taken.filter(name => !(name in part));
  t.deepEqual(missing, []);
});
