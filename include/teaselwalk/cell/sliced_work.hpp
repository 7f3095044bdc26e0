#pragma once

#include "teaselwalk/cell/lifetime.hpp"
#include "teaselwalk/cell/ports.hpp"

#include <cstddef>
#include <functional>

namespace teaselwalk::cell {

/// Calls \p Step with 0 to \p Count - 1, in slices of at most 64 calls and,
/// as far as a single call allows, 10 ms. Other work of the thread, such as the
/// renewal of leases, has its turn between two slices. \p Done is called after
/// the last step. Work that fits into one slice is done at once. An exception
/// in a step ends its slice; the other steps follow. Nothing more is called
/// after the end of \p User.
void doInSlices(Executor &Clock, const Lifetime &User, size_t Count,
                std::function<void(size_t)> Step, std::function<void()> Done);

} // namespace teaselwalk::cell
