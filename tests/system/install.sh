#!/usr/bin/env bash
# cmake --install installs the two programs, which run from the prefix, and the
# docs, but none of the stand-ins.
prefix="$(mktemp -d)"
trap 'rm -rf "$prefix"' EXIT
build="$(dirname "${CLUSTER_BIN:-build/release/source}")"

fail() {
  echo "FAILED: $*" >&2
  exit 1
}

cmake --install "$build" --prefix "$prefix" >/dev/null || fail "install"
[[ "$("$prefix/bin/wisteriayoked" --version)" == "wisteriayoked "* ]] ||
  fail "wisteriayoked does not run"
[[ "$("$prefix/bin/wisteriayokectl" version)" == "wisteriayokectl "* ]] ||
  fail "wisteriayokectl does not run"
[ "$(find "$prefix" -type f -perm -u+x | wc -l)" = 2 ] ||
  fail "more than the two programs were installed"
[ -e "$prefix/share/doc/wisteriayoke/operations/settings.md" ] ||
  fail "the docs were not installed"
