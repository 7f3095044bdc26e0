#pragma once

#include "teaselwalk/base/enum_names.hpp"
#include "teaselwalk/base/verdict.hpp"

namespace teaselwalk::protocol {

/// What is known about a message to another process.
enum class Delivery {
  Answered, ///< The other side answered.
  NotSent,  ///< It surely did not reach the other side.
  Lost,     ///< It was sent; no whole answer came in time.
};

constexpr std::array<EnumName<Delivery>, 3> DeliveryNames = {{
    {Delivery::Answered, "answered"},
    {Delivery::NotSent, "not_sent"},
    {Delivery::Lost, "lost"},
}};

/// The verdict on a request whose message had no answer.
constexpr Verdict verdictWithoutAnswer(Delivery Value) {
  return Value == Delivery::NotSent ? Verdict::NotRun : Verdict::MayHaveRun;
}

} // namespace teaselwalk::protocol
