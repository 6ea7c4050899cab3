#!/usr/bin/env bash
# Plays the project's own days of trouble on the users' bench, a line each.
# Needs the bench's program and the folder with the site files; CI has neither.
set -u
bench=${1:?the program of the bench}
sites=${2:?the folder of the site files}
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
