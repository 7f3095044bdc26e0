#pragma once

#include "teaselwalk/base/time.hpp"
#include "teaselwalk/cell/ports.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace teaselwalk::cell {

/// An end that the endpoint still lists, and the record that must be stored
/// before the endpoint may forget it.
struct UnacknowledgedEnd {
  int64_t Number = 0;
  JobId Job;
  int64_t Version = 0;
};

/// What the owner knows of one endpoint.
struct TrackedEndpoint {
  EndpointInfo Info;
  bool IsListed = false; ///< In the discovery list.
  TimePoint UnlistedSince;

  int64_t Token = 0;         ///< Fencing token of the next order.
  int64_t FencedToken = 0;   ///< Highest token that a renewal has confirmed.
  int64_t IncarnationMs = 0; ///< Of the life that the renewals speak of.
  int64_t ClockMs = 0;       ///< The endpoint's clock at `ClockReadAt`.
  TimePoint ClockReadAt;

  TimePoint AnsweredAt; ///< Latest renewal that was answered.
  TimePoint RenewedAt;  ///< Latest order that extends leases was sent.
  uint64_t RenewalsSent = 0;
  uint64_t LatestAnswered = 0; ///< Number of the newest renewal answered.
  int32_t InFlight = 0;        ///< Renewals without an answer yet.
  bool HasWaitingRenewal = false;
  /// No call has failed since a list named this life.
  bool IsLifeConfirmed = false;

  int64_t SeenEnd = 0;   ///< Highest end read in this life.
  int64_t StoredEnd = 0; ///< All ends up to it are stored.
  std::deque<UnacknowledgedEnd> Ends;

  Resources Used; ///< Of all tasks that may run here.
  /// Tasks that may run here.
  std::unordered_set<TaskKey> Tasks;
  int32_t ServingTasks = 0; ///< With a limit of their tail.
  int32_t OpportunisticTasks = 0;
  int64_t OpportunisticCpu = 0; ///< That they ask for, thousandths.
  /// Runs that are listed here without a place in any job.
  std::map<std::pair<TaskKey, int64_t>, TimePoint> Strays;

  TimePoint AvoidUntil;  ///< No new work before.
  Duration AvoidNext{0}; ///< Length of the next pause.
  int32_t FailuresInRow = 0;
  double Slowness = 1; ///< Run time over the declared one, smoothed.
  int32_t OpportunisticCpuLimitPercent =
      100; ///< Share of opportunistic tasks, percent.
  TimePoint PaceChangedAt;

  Resources room() const;
  const std::string &rack() const;
  bool hasLabel(const std::string &Label) const;
  /// Expected now on the endpoint's clock; 0: never heard of.
  int64_t clockAt(TimePoint Now) const;
};

/// All endpoints by id. They stay for as long as a task may run there.
using EndpointTable = std::unordered_map<EndpointId, TrackedEndpoint>;

} // namespace teaselwalk::cell
