#pragma once

#include "teaselwalk/base/time.hpp"

/// Times and limits that the owner uses in several places.
namespace teaselwalk::cell {

/// The fencing tokens of epoch E start at E times this number, so each owner
/// has higher tokens than the one before. A start request without an answer and
/// a restart of an endpoint each use up one.
constexpr int64_t TokensPerEpoch = 1000000;

/// An endpoint that has not answered for this long is silent: its leases are
/// not extended, and its tasks are placed elsewhere once the leases have ended.
constexpr Duration ContactTimeout{2600};

/// No task is started on an endpoint that has not answered for this long: if
/// the endpoint is dead, the task can be placed elsewhere only after its lease
/// has ended. An idle endpoint answers every `RenewWait` + `RenewPause`.
constexpr Duration MaxSilenceToStart{1400};

/// An endpoint answers a renewal when a run ends, or else after this time.
constexpr Duration RenewWait{1000};
/// The same on an endpoint that serving and opportunistic tasks share while the
/// CPU limit of the latter may have to change, which each answer decides.
constexpr Duration RenewWaitAdjusting{300};
/// Pause after an answered renewal, so that one answer reports several ends.
constexpr Duration RenewPause{90};
/// Pause after a renewal that failed or was not answered.
constexpr Duration RenewRetry{300};

/// Margin after the latest possible end of a lease, before its tasks are
/// placed elsewhere.
constexpr Duration LeaseEndMargin{500};

/// Lease of a task, or the platform's maximum if that is shorter. It must
/// outlast a takeover (2 to 3 s), and be short because a task on a dead
/// endpoint is placed elsewhere only after its lease has ended.
constexpr Duration TaskLease{5000};

/// An owner extends leases only if the store confirmed the ownership within
/// this time, so a former owner extends none later than this after a takeover.
/// Together with `TaskLease` it lets tasks survive a store outage of 8 s.
constexpr Duration MaxConfirmationAgeToExtend{3500};

/// A call without an answer may still be carried out this long after it was
/// sent.
constexpr Duration MaxCallDelay{14000};

/// A start request is sent only if the store confirmed the ownership within
/// this time. The owner sends the next renewal 250 ms after a confirmation.
constexpr Duration MaxConfirmationAgeToStart{2000};

/// A start request is sent only if the store confirmed the desired state within
/// this time. The platform allows at least 2 s until drains and evacuations
/// must take effect.
constexpr Duration MaxDesiredStateAge{4000};

/// A stop request is repeated after this time if the run is still listed.
constexpr Duration StopRetry{700};

/// An endpoint lists at most this many ends in one answer. A full list may
/// leave out others, so a run that it does not show may have ended.
constexpr size_t MaxEndsPerAnswer = 500;

/// Delay between a change and the decisions and writes that follow, so that
/// changes that come together share one write.
constexpr Duration PassDelay{15};

/// The next pass waits at least this multiple of the time that the latest one
/// took, so that passes over a long backlog leave time for renewals and ends.
constexpr int PassTimeFactor = 4;

/// Longest pause between two passes; longer than those of an owner that is
/// short of processor time.
constexpr Duration LongestPassPause{1000};

/// A pass ends after this time; the next one goes on where it has ended.
constexpr Duration MaxPassTime{20};

/// Interval of the checks that no event triggers.
constexpr Duration TickInterval{250};

/// An endpoint that could not carry out a start request, or where
/// `FailuresToSuspend` tasks in a row have failed, gets no new tasks for a
/// while; the time doubles with each repetition.
constexpr Duration FirstSuspension{400};
constexpr Duration LongestSuspension{8000};
constexpr int32_t FailuresToSuspend = 2;

} // namespace teaselwalk::cell
