#!/usr/bin/env bash
# Builds the cases 6 to 9 and their stand-ins into target/review-2/.
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
for number in 6 7 8 9; do
  g++ -std=c++17 -O1 -Wall -Iinclude -I. -Iplatform/soak -Ireview \
    "review/$number/case.cpp" review/deployment-2.cpp review/node_process-2.cpp \
    "${libraries[@]}" -lcrypto -lpthread -o "target/review-2/case-$number"
done
