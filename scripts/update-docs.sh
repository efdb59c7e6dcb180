#!/usr/bin/env bash
# Generates the pages of settings and result codes from the programs, and updates
# the help texts in the pages of the commands: update-docs.sh [DOCS-FOLDER]
cd "$(dirname "$0")/.." || exit 1
bin="${CLUSTER_BIN:-build/release/source}"
docs="${1:-docs}"

"$bin/daemon/wisteriayoked" --help-settings >"$docs/operations/settings.md"
"$bin/daemon/wisteriayoked" --help-codes >"$docs/RESULT-CODES.md"

# Replaces the first text block of PAGE by the help of a command:
# update_help PAGE COMMAND...
update_help() {
  local page="$1"
  shift
  "$@" --help >"$page.help" || return 1
  awk -v help="$page.help" '
    /^```text$/ && !done {
      print
      while ((getline line < help) > 0) print line
      skipping = 1
      next
    }
    /^```$/ && skipping { skipping = 0; done = 1 }
    !skipping { print }
  ' "$page" >"$page.new" && mv "$page.new" "$page"
  rm -f "$page.help"
}

"$bin/ctl/wisteriayokectl" --help | sed -n 's/^  \(table [a-z]*\|[a-z-]*\) .*/\1/p' |
  while read -r command; do
    page="$docs/commands/${command// /-}.md"
    [ -e "$page" ] || printf '# wisteriayokectl %s\n\n```text\n```\n' \
      "$command" >"$page"
    # shellcheck disable=SC2086
    update_help "$page" "$bin/ctl/wisteriayokectl" $command
  done
update_help "$docs/commands/wisteriayoked.md" "$bin/daemon/wisteriayoked"
