#pragma once

#include "teaselwalk/base/enum_names.hpp"
#include "teaselwalk/base/verdict.hpp"

namespace teaselwalk::protocol {

/// What the sender knows about a request to another process.
enum class Delivery {
  Answered, ///< The receiver answered.
  NotSent,  ///< The request certainly did not reach the receiver.
  Lost,     ///< The request was sent, but no complete answer came in time.
};

constexpr std::array<EnumName<Delivery>, 3> DeliveryNames = {{
    {Delivery::Answered, "answered"},
    {Delivery::NotSent, "not_sent"},
    {Delivery::Lost, "lost"},
}};

/// The verdict on a request that was not answered: it may have run unless it
/// certainly did not reach the receiver.
constexpr Verdict verdictWithoutAnswer(Delivery Value) {
  return Value == Delivery::NotSent ? Verdict::NotRun : Verdict::MayHaveRun;
}

} // namespace teaselwalk::protocol
