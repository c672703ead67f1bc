# What the demos share: processes of their own, steps and checks. Sourced by
# direct and relay with the build folder as the first argument.
set -u
here=$(cd "$(dirname "$0")" && pwd)
build=$(cd "${1:?usage: run BUILD_FOLDER}" && pwd)
work=$(mktemp -d)
pids=()
failures=0

finish() {
  kill "${pids[@]}" 2>/dev/null
  wait "${pids[@]}" 2>/dev/null
  rm -rf "$work"
}
trap finish EXIT

start() {  # NAME COMMAND...: starts a process and keeps its log
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
}

step() { printf '\n== %s\n' "$*"; }

expect() {  # WHAT PATTERN TEXT
  if grep -qE -- "$2" <<<"$3"; then
    printf 'ok: %s\n' "$1"
  else
    printf 'WRONG: %s\n  expected %s\n  got %s\n' "$1" "$2" "$3"
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

logs() {  # PATTERN: the last log lines of the daemons that match
  grep -hE "$1" "$work"/d?.log | tail -"${2:-4}" | sed 's/^/  log: /'
}

get() { curl -s -m 20 "$@"; }

# Says how it went; the caller's exit code.
verdict() {
  printf '\n%s\n' "$([ $failures -eq 0 ] && echo "$1: every answer was right" || echo "$1: $failures wrong")"
  if [ $failures -gt 0 ]; then
    echo "what the processes printed besides their log lines:"
    grep -hv '^ms=' "$work"/*.log | head -60
  fi
  [ $failures -eq 0 ]
}
