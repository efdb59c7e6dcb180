#!/usr/bin/env bash
# The generated pages and the help texts in the pages of the commands equal what
# the programs print. scripts/update-docs.sh updates them.
scratch="$(mktemp -d)"
trap 'rm -rf "$scratch"' EXIT
cp -r docs/. "$scratch"
scripts/update-docs.sh "$scratch" || exit 1
diff -r docs "$scratch" || {
  echo "FAILED: run scripts/update-docs.sh" >&2
  exit 1
}
