#pragma once

#include "teaselwalk/operators/operator_api.hpp"

namespace teaselwalk::operators {

/// Unpredictable bytes from OpenSSL. Throws `Error` if there are none.
std::vector<uint8_t> secureRandomBytes(size_t Count);

/// Options with the system's wall clock and `secureRandomBytes`.
OperatorOptions systemOptions();

} // namespace teaselwalk::operators
