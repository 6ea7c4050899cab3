#!/usr/bin/env bash
# Runs the project's own fault scenarios (deploy/days) on the users' bench and prints one line for each.
# Usage: tools/days.sh BENCH SITES [PATTERN]: the bench program, the folder of the site files, and a part
# of the scenarios' file names. CI has neither the program nor the site files.
set -u
bench=${1:?path of the bench program is missing}
sites=${2:?folder of the site files is missing}
pick=${3:-}
play() {
  day=$1
  case "$(basename "$day")" in
    km-fleet-*) site=$sites/fleet/km-dashworks-fleet ;;
    km-size-*) site=$sites/large/km-dashworks-large ;;
    km-shift-*) site=$sites/shifted/km-dashworks-now-grown ;;
    km-*) site=$sites/sites/km-dashworks ;;
    bensalah-*) site=$sites/further/bensalah ;;
    *) site=$sites/sites/gcso-post ;;
  esac
  name=$(basename "$day" .toml)
  result=$("$bench" run "$site.toml" "$day" --why "own day $name" 2>&1 | grep -E "^${name#*-} |^rules broken|rror:")
  verdict=kept
  grep -q -E 'BROKEN|rules broken|rror:' <<<"$result" && verdict=BROKEN
  printf '%-7s %-36s %s\n' "$verdict" "$name" "$(tr '\n' ' ' <<<"$result")"
}
export -f play
export bench sites
ls deploy/days/*"$pick"*.toml | xargs -P 6 -I{} bash -c 'play {}'
