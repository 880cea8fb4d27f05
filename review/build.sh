#!/usr/bin/env bash
# Builds the stand-ins and the program of each case into target/review/. Needs the libraries that the
# build command of the deploy file has put into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-mismatched-new-delete -DELPP_THREAD_SAFE
  -DELPP_NO_DEFAULT_LOG_FILE -DELPP_CUSTOM_COUT=std::cerr -Iinclude -Isrc)
pids=()
for source in review/stand-ins/*.cc review/[1-5]/case.cc; do
  [ -e "$source" ] || continue
  name=$(basename "$(dirname "$source")")-$(basename "$source" .cc)
  g++ "${flags[@]}" -c "$source" -o "$out/$name.o" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
for object in "$out"/[1-5]-case.o; do
  [ -e "$object" ] || continue
  number=$(basename "$object" -case.o)
  g++ -o "$out/case-$number" "$object" "$out"/stand-ins-*.o target/liblimpetfall-gateway-lib.a \
    target/libeasylogging.a -lxxhash -lcapnp -lkj -lpthread
done
