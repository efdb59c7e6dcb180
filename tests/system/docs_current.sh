#!/usr/bin/env bash
# The generated pages and the help in the pages of the commands are what the
# programs print now. scripts/update-docs.sh brings them up to date.
scratch="$(mktemp -d)"
trap 'rm -rf "$scratch"' EXIT
cp -r docs/. "$scratch"
scripts/update-docs.sh "$scratch" || exit 1
diff -r docs "$scratch" || {
  echo "FAILED: run scripts/update-docs.sh" >&2
  exit 1
}
