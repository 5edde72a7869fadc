/** Options that both bundles of the program share. */

/** Options for esbuild. */
export const BUNDLE_OPTIONS = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  external: ['unix-dgram'],
  // Identifiers are not minified: keeping function names would then cost a call per function created.
  minifyWhitespace: true,
  minifySyntax: true,
  // A single character outside ASCII, such as in a name in a license, doubles the memory for the source text.
  charset: 'ascii',
  legalComments: 'external',
  logLevel: 'warning',
};
