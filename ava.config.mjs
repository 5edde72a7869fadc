/** Test settings: unit tests by default, process tests when TEST_SET=process. */
const isProcessSet = process.env.TEST_SET === 'process';

export default {
  files: isProcessSet
    ? ['packages/*/dist/test/**/*.process.test.js']
    : [
        'packages/*/dist/test/**/*.test.js',
        '!packages/*/dist/test/**/*.process.test.js',
      ],
  concurrency: isProcessSet ? 1 : 4,
  timeout: isProcessSet ? '5m' : '2m',
  workerThreads: false,
};
