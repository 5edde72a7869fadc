#!/usr/bin/env bash
# Builds the stand-ins that the cases start: they are plain JavaScript modules, so this only checks that they parse.
set -eu
cd "$(dirname "$0")"
for file in standins/*.mjs [1-5]/*.mjs observed-loss/*.mjs; do
  node --check "$file"
done
