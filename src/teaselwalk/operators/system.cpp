#include "teaselwalk/operators/system.hpp"

#include "teaselwalk/base/error.hpp"

#include <openssl/rand.h>

#include <chrono>

namespace teaselwalk::operators {

std::vector<uint8_t> secureRandomBytes(size_t Count) {
  std::vector<uint8_t> Out(Count);
  if (RAND_bytes(Out.data(), static_cast<int>(Count)) != 1)
    throw Error("no random bytes are available");
  return Out;
}

OperatorOptions systemOptions() {
  OperatorOptions Out;
  Out.WallClockMs = [] {
    auto Now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Duration>(Now).count();
  };
  Out.RandomBytes = secureRandomBytes;
  return Out;
}

} // namespace teaselwalk::operators
