#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target -j8 --target teaselwalk teaselwalk_soak
mkdir -p target/review-2
libraries=(
  target/platform/soak/libteaselwalk_soak.a
  target/src/teaselwalk/fakes/libteaselwalk_fakes.a
  target/src/teaselwalk/http/libteaselwalk_http.a
  target/src/teaselwalk/protocol/libteaselwalk_protocol.a
  target/src/teaselwalk/base/libteaselwalk_base.a
)
for source in review/kit-2/*.cpp; do
  name=$(basename "$source" .cpp)
  case "$name" in deployment | node_process) continue ;; esac
  g++ -std=c++17 -O1 -Wall -Iinclude -I. -Iplatform/soak -Ireview/kit-2 \
    "$source" review/kit-2/deployment.cpp review/kit-2/node_process.cpp "${libraries[@]}" -lcrypto -lpthread \
    -o "target/review-2/$name"
done
