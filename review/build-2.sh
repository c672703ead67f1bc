#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start, into target/review-2/.
# The build of the deploy file comes first.
set -eu
cd "$(dirname "$0")/.."
cmake --build target --target rosemaryhook rosemaryhook_core fake_site -j6
mkdir -p target/review-2
flags=(-std=c++20 -O1 -I. -DBOOST_ASIO_SEPARATE_COMPILATION
  -DBOOST_BEAST_SEPARATE_COMPILATION -DBOOST_ASIO_NO_DEPRECATED
  '-DROSEMARYHOOK_PROGRAMS="target"' -Wno-mismatched-new-delete)
compile() { g++ "${flags[@]}" -c "$1" -o "target/review-2/$2.o"; }
compile review/small_site.cc small_site &
compile review/chat_runner.cc chat_runner &
compile rosemaryhook/testing/processes.cc processes &
for folder in review/{6,7,8,9,10}; do
  if [ -f "$folder/run.cc" ]; then
    compile "$folder/run.cc" "run-${folder#review/}" &
  fi
done
status=0
for job in $(jobs -p); do wait "$job" || status=1; done
[ "$status" = 0 ]
for object in target/review-2/run-*.o; do
  g++ "$object" target/review-2/{small_site,chat_runner,processes}.o \
    target/librosemaryhook.a target/librosemaryhook_core.a \
    -lfmt -lyaml-cpp -lnghttp2 -lssl -lcrypto -lcsv -lpthread \
    -o "${object%.o}"
done
