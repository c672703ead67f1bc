# Functions that the demos share: starting processes, printing steps, checking
# answers. Sourced by direct and relay with the build directory as the first
# argument.
set -u
here=$(cd "$(dirname "$0")" && pwd)
build=$(cd "${1:?usage: run BUILD_DIRECTORY}" && pwd)
work=$(mktemp -d)
pids=()
failures=0

finish() {
  kill "${pids[@]}" 2>/dev/null
  wait "${pids[@]}" 2>/dev/null
  rm -rf "$work"
}
trap finish EXIT

start() {  # NAME COMMAND...: starts a background process that logs to NAME.log
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
}

step() { printf '\n== %s\n' "$*"; }

expect() {  # CHECK PATTERN TEXT: checks that TEXT matches PATTERN
  if grep -qE -- "$2" <<<"$3"; then
    printf 'ok: %s\n' "$1"
  else
    printf 'FAILED: %s\n  expected %s\n  got %s\n' "$1" "$2" "$3"
    failures=$((failures + 1))
  fi
}

await() {  # SECONDS COMMAND...: repeats the command until it succeeds
  local deadline=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -lt $deadline ] || return 1
    sleep 0.1
  done
}

logs() {  # PATTERN [COUNT]: the daemons' last COUNT matching log lines
  grep -hE "$1" "$work"/d?.log | tail -"${2:-4}" | sed 's/^/  log: /'
}

get() { curl -s -m 20 "$@"; }

# NAME: prints the result of the demo and returns non-zero if a check failed.
report_result() {
  printf '\n%s\n' "$([ $failures -eq 0 ] && echo "$1: all checks passed" || echo "$1: $failures checks failed")"
  if [ $failures -gt 0 ]; then
    echo "output of the processes other than log lines:"
    grep -hv '^ms=' "$work"/*.log | head -60
  fi
  [ $failures -eq 0 ]
}
