#!/usr/bin/env bash
# Checks the format and lints all C++ sources. With --fix, formats them instead.
cd "$(dirname "$0")/.." || exit 1
mapfile -t files < <(git ls-files --cached --others --exclude-standard \
  'platform/*.cc' 'platform/*.h' 'source/*.cc' 'source/*.h' 'tests/*.cc' 'tests/*.h')
if [ "${1:-}" = "--fix" ]; then
  clang-format -i "${files[@]}"
  exit
fi
clang-format --dry-run --Werror "${files[@]}" || exit 1
# Lints the largest files first, so that the cores finish at about the same time.
mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep '\.cc$' |
  grep -v '_implementation\.cc$')
du -b "${sources[@]}" | sort -rn | cut -f 2 |
  xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p build/release 2>/dev/null
