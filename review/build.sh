#!/usr/bin/env bash
# Builds the cases' programs and stand-ins into target/, after the build of the
# deploy file.
set -eu
cd "$(dirname "$0")/.."
cmake -S . -B target -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target --target rosemaryhookd fake_site -j6
mkdir -p target/review
shared=(target/review/processes.o)
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers
  -Wno-mismatched-new-delete -I.
  -DBOOST_ASIO_SEPARATE_COMPILATION -DBOOST_BEAST_SEPARATE_COMPILATION
  -DBOOST_ASIO_NO_DEPRECATED -DROSEMARYHOOK_PROGRAMS='"target"')
g++ "${flags[@]}" -c rosemaryhook/testing/processes.cc -o target/review/processes.o &
for source in review/*.cc; do
  g++ "${flags[@]}" -c "$source" \
    -o "target/review/$(basename "$source" .cc).o" &
  shared+=("target/review/$(basename "$source" .cc).o")
done
for source in review/[1-5]/run.cc; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" -c "$source" -o "target/review/run$number.o" &
done
for job in $(jobs -p); do
  wait "$job"
done
for source in review/[1-5]/run.cc; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ "target/review/run$number.o" "${shared[@]}" target/librosemaryhook.a \
    target/librosemaryhook_core.a -lfmt -lyaml-cpp -lnghttp2 -lssl -lcrypto \
    -lcsv -lpthread -o "target/review/$number"
done
