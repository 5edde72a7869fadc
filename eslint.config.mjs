/** Linter settings: Google's, and the project's own rules. */
import gts from 'gts';

import project from './scripts/lint_rules.mjs';

export default [
  {
    ignores: [
      'target/',
      'journal/',
      '**/dist/',
      '**/node_modules/',
      '**/gen/',
      'results/',
    ],
  },
  ...gts,
  {
    files: ['packages/**/*.ts'],
    plugins: {project},
    languageOptions: {
      parserOptions: {project: './packages/*/tsconfig.json'},
    },
    rules: {
      'project/verb': 'error',
      'project/word': 'error',
      'project/wire-name': 'error',
      'project/module-head': 'error',
      'project/no-index': 'error',
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-misused-promises': 'error',
      '@typescript-eslint/prefer-readonly': 'error',
      '@typescript-eslint/no-empty-function': 'off',
      'n/no-unpublished-import': 'off',
      'n/no-extraneous-import': 'off',
      'n/no-missing-import': 'off',
      'n/no-process-exit': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
    },
  },
  {
    // The platform's own words stop here.
    files: ['packages/platform/**/*.ts'],
    rules: {'project/word': 'off', 'project/wire-name': 'off'},
  },
  {
    files: ['scripts/**/*.mjs', 'scripts/**/*.cjs', '*.mjs', '*.js'],
    rules: {'n/no-unpublished-import': 'off', 'n/no-extraneous-import': 'off'},
    languageOptions: {
      globals: {
        process: 'readonly',
        __dirname: 'readonly',
        setTimeout: 'readonly',
      },
    },
  },
];
