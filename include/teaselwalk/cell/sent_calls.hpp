#pragma once

#include "teaselwalk/cell/clock_reading.hpp"
#include "teaselwalk/cell/ports.hpp"

#include <cstdint>

namespace teaselwalk::cell {

/// What has to be known of a call to an endpoint when its answer arrives.
struct SentCall {
  EndpointId Endpoint;
  int64_t Token = 0;        ///< Its fencing token.
  int64_t LeaseUntilMs = 0; ///< On the clock of `Reading`; 0: not in the call.
  ClockReading Reading;     ///< The latest one when the call was sent.
  TimePoint Sent;
};

struct SentRenewal : SentCall {
  uint64_t Number = 0; ///< Counts the renewals to the endpoint.
  int64_t AcknowledgedEnd = 0;
  bool IsLongPoll = false;
};

struct SentStart : SentCall {
  TaskKey Task;
  int64_t Attempt = 0;
};

} // namespace teaselwalk::cell
