#pragma once

#include "teaselwalk/base/event_name.hpp"

namespace teaselwalk::runtime {

using teaselwalk::EventName;
using teaselwalk::EventNames;

} // namespace teaselwalk::runtime
