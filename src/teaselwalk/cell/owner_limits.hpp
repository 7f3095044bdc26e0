#pragma once

#include "teaselwalk/base/time.hpp"

/// Times and limits of the owner's decisions.
namespace teaselwalk::cell {

/// Fencing tokens of one epoch; each lost order uses up one.
constexpr int64_t TokensPerEpoch = 1000000;

/// An endpoint that has not answered for this long gets no longer leases.
constexpr Duration SilenceLimit{2600};

/// An endpoint that has not answered for this long gets no start: without an
/// answer the task waits there until the lease has ended. A waiting renewal is
/// answered after `RenewWait`, the next one is sent after `RenewPause`.
constexpr Duration StartSilence{1400};

/// Longest wait of a renewal for an end.
constexpr Duration RenewWait{1000};
/// Wait where serving tasks share an endpoint with opportunistic ones.
constexpr Duration RenewWaitPaced{300};
/// Pause after an answered renewal, so that ends come in groups.
constexpr Duration RenewPause{90};
/// Pause after a renewal without an answer.
constexpr Duration RenewRetry{300};

/// Added to the time at which a lease has surely ended.
constexpr Duration LeaseSlack{500};

/// Lease of a task, or the platform's maximum if that is shorter. Covers a
/// takeover (2 to 3 s); a task on a dead endpoint waits for its end.
constexpr Duration TaskLease{5000};

/// An owner extends leases only while the store has confirmed it within this
/// time. With the leases it covers an outage of the store of 8 s.
constexpr Duration FormerOwnerLimit{3500};

/// An order without an answer may be carried out this much later.
constexpr Duration LateOrderLimit{14000};

/// A start order is sent only if the store confirmed the ownership within
/// this time. Renewals of the ownership come every 400 ms.
constexpr Duration StartAuthority{2000};

/// No start on instructions that are older; the platform's bounds for drains
/// and evacuations are 2 s and more.
constexpr Duration MaxDesiredStateAge{4000};

/// A stop that has no effect is ordered again after this time.
constexpr Duration StopRetry{700};

/// An endpoint lists at most this many ends in one answer; a full list may
/// leave out others.
constexpr size_t EndsPerAnswer = 500;

/// Delay between a change and the decisions and writes that follow, so that
/// changes that come together share one write.
constexpr Duration PassDelay{15};

constexpr Duration TickInterval{250};

/// Pauses of an endpoint that refused an order or failed tasks.
constexpr Duration AvoidFirst{400};
constexpr Duration AvoidLongest{8000};
constexpr int32_t FailuresToAvoid = 2;

} // namespace teaselwalk::cell
