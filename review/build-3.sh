#!/usr/bin/env bash
# Builds the programs that the scripts of review 3 start, into target/review-3.
# Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."

cmake -S . -B target -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target -j8 --target teaselwalk_soak teaselwalk

out=target/review-3
mkdir -p "$out"
libraries=(
  target/platform/soak/libteaselwalk_soak.a
  target/src/teaselwalk/fakes/libteaselwalk_fakes.a
  target/src/teaselwalk/http/libteaselwalk_http.a
  target/src/teaselwalk/protocol/libteaselwalk_protocol.a
  target/src/teaselwalk/base/libteaselwalk_base.a
)
for part in deployment worker proxy; do
  g++ -std=c++17 -O2 -Wall -Wextra -Iinclude -I. -c "review/$part-3.cpp" -o "$out/$part.o"
done
for case in review/1[1-5]/case.cpp; do
  [ -e "$case" ] || continue
  number=$(basename "$(dirname "$case")")
  g++ -std=c++17 -O2 -Wall -Wextra -Iinclude -I. "$case" "$out/deployment.o" "$out/worker.o" "$out/proxy.o" \
    -Wl,--start-group "${libraries[@]}" -Wl,--end-group -lcrypto -pthread -o "$out/case-$number"
done
