#pragma once

#include "teaselwalk/base/time.hpp"
#include "teaselwalk/cell/clock_reading.hpp"
#include "teaselwalk/cell/crash_suspects.hpp"
#include "teaselwalk/cell/decisions/endpoint_record.hpp"
#include "teaselwalk/cell/lease_horizon.hpp"
#include "teaselwalk/cell/ports.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace teaselwalk::cell {

/// The end of a run that the endpoint still lists, and the version of the job's
/// record that must be stored before the endpoint may forget it.
struct UnacknowledgedEnd {
  int64_t Number = 0;
  JobId Job;
  int64_t Version = 0;
};

/// What the owner knows of one endpoint.
struct TrackedEndpoint {
  EndpointInfo Info;
  bool IsListed = false; ///< The discovery list names it.
  TimePoint UnlistedSince;

  int64_t Token = 0;         ///< Fencing token of the next request.
  int64_t FencedToken = 0;   ///< Highest token that a renewal has confirmed.
  int64_t IncarnationMs = 0; ///< Start of the incarnation that last answered.
  ClockReading Reading;      ///< The latest one of its clock.
  /// Another incarnation has answered a start request, but no renewal yet.
  bool HasUnreadIncarnation = false;

  TimePoint LastAnswerAt; ///< When a renewal was last answered.
  /// The latest time at which it is known to have been alive, by its answers to
  /// renewals and start requests.
  TimePoint LastAliveAt;
  /// The clock of its incarnation would have shown 0 at this time or later.
  std::optional<TimePoint> ClockZero;
  /// The first call that failed since then; the default value: none.
  TimePoint FirstFailureAt;
  TimePoint LastStartAt; ///< When the latest start request was sent.
  LeaseHorizon Leases;
  /// Incarnations that a former owner knew to have leases of the usual length
  /// only.
  std::set<int64_t> UsualLeaseIncarnations;
  uint64_t RenewalsSent = 0;
  /// Number of the newest renewal that was answered.
  uint64_t LatestAnsweredRenewal = 0;
  int32_t RenewalsInFlight = 0; ///< Renewals without an answer yet.
  bool HasOpenLongPoll = false;
  /// No renewal or start request has failed since the incarnation in
  /// `IncarnationMs` answered.
  bool IsIncarnationConfirmed = false;

  int64_t LastSeenEnd = 0;   ///< Highest number of an end that was read.
  int64_t LastStoredEnd = 0; ///< All ends up to this number are stored.
  std::deque<UnacknowledgedEnd> UnacknowledgedEnds;

  Resources Reserved;           ///< Resources that are reserved for `Tasks`.
  Resources ReservedByServices; ///< The part of it for tasks of services.
  /// Tasks that may run here.
  std::unordered_set<TaskKey> Tasks;
  /// Runs that were released because it was silent. Its next answer shows
  /// whether it has crashed.
  std::vector<RunAtCrash> ReleasedRuns;
  /// Others were lost at the same time as it became silent.
  bool HadCommonCause = false;
  /// The suspected task that is or was started here in isolation.
  std::optional<TaskKey> IsolatedTask;
  int32_t ServingTasks = 0; ///< Tasks with a limit of their tail latency.
  int32_t OpportunisticTasks = 0;
  /// Demand of the opportunistic tasks, in thousandths of a processor.
  int64_t OpportunisticCpu = 0;
  /// Runs (task and attempt) that the endpoint lists although this owner has
  /// not assigned them to it, and when they were last listed.
  std::map<std::pair<TaskKey, int64_t>, TimePoint> StrayRuns;

  TimePoint SuspendedUntil;     ///< No task is started here earlier.
  Duration LatestSuspension{0}; ///< Length of the latest suspension; 0: none.
  int32_t ConsecutiveFailures = 0;
  double Slowness = 1; ///< Ratio of real to usual run times, smoothed.
  EndpointRecord Record;
  /// Share of their processors that opportunistic tasks may use, percent.
  int32_t OpportunisticCpuLimitPercent = 100;
  TimePoint CpuLimitChangedAt;
  /// Opportunistic tasks are not limited, and the last answer has shown that
  /// all tail latencies are far from their targets.
  bool IsCpuLimitSettled = false;

  size_t Row = 0; ///< Index in `EndpointTable::rows`.

  /// True if `Info` is of the incarnation that last answered, as far as it
  /// tells. The next one may have other labels and another capacity.
  bool isDescribed() const {
    return Info.IncarnationMs == 0 || Info.IncarnationMs == IncarnationMs;
  }
  /// When the leases of runs have ended that incarnation \p StartMs holds.
  TimePoint leaseEnd(int64_t StartMs, const LeaseLengths &Lengths) const;
  /// True if no lease of the present incarnation ends later than the owner has
  /// asked for.
  bool hasUsualLeases(const LeaseLengths &Lengths, TimePoint Now) const;
  /// Capacity that is not reserved.
  Resources freeCapacity() const;
  const std::string &rack() const;
  bool hasLabel(const std::string &Label) const;
};

/// All endpoints by id. An entry stays for as long as a task may run there.
class EndpointTable {
  using Entries = std::unordered_map<EndpointId, TrackedEndpoint>;

public:
  /// What decides first whether an endpoint matters to a step. The rows are
  /// next to each other in memory, so it is quick to look at all of them.
  struct Row {
    const EndpointId *Id = nullptr;
    TrackedEndpoint *Endpoint = nullptr;
    Resources Free; ///< Capacity that is not reserved.
    /// Number of the latest event after which a request for advice may name the
    /// endpoint although an earlier one could not.
    uint64_t LatestGain = 0;
    /// The incarnation on which tasks could start when that was last checked;
    /// 0: none could.
    int64_t UsableIncarnationMs = 0;
    size_t RoomClass = 0; ///< Index in `ByRoom`.
    size_t Position = 0;  ///< Index in that class.
  };

  EndpointTable() = default;
  // The rows point to the entries.
  EndpointTable(const EndpointTable &) = delete;
  EndpointTable &operator=(const EndpointTable &) = delete;

  Entries::iterator begin() { return ById.begin(); }
  Entries::iterator end() { return ById.end(); }
  Entries::const_iterator begin() const { return ById.begin(); }
  Entries::const_iterator end() const { return ById.end(); }
  Entries::iterator find(const EndpointId &Id) { return ById.find(Id); }
  Entries::const_iterator find(const EndpointId &Id) const {
    return ById.find(Id);
  }
  /// Adds an entry if there is none.
  TrackedEndpoint &operator[](const EndpointId &Id);
  Entries::iterator erase(Entries::iterator Entry);

  /// All endpoints, in any order.
  std::vector<Row> &rows() { return Rows; }

  /// To be called after each change of the capacity, of `Reserved` or of
  /// `OpportunisticCpu`.
  void updateRoom(const TrackedEndpoint &Endpoint);

  /// Endpoints whose free CPU differs by less than this, in thousandths of a
  /// processor, are equally full.
  static constexpr int64_t RoomStep = 1000;

  /// Visits the endpoints with at least \p MilliCpu of free CPU, and some with
  /// less, until \p Visit returns false: first those with opportunistic tasks,
  /// of which the free CPU does not show how full they are, then the others
  /// from the fullest to the emptiest. `Visit` is told the least free CPU of
  /// those that are as full as the visited one; 0 for the first ones.
  template <typename Visitor>
  void visitByRoom(int64_t MilliCpu, Visitor Visit) {
    for (size_t Row : ByRoom[MixedClass])
      if (!Visit(Rows[Row], 0))
        return;
    for (size_t Class = roomClassOf(MilliCpu); Class < MixedClass; ++Class)
      for (size_t Row : ByRoom[Class])
        if (!Visit(Rows[Row], static_cast<int64_t>(Class) * RoomStep))
          return;
  }

  /// Records that \p Endpoint may have become a candidate for steps that found
  /// none.
  void noteGain(const TrackedEndpoint &Endpoint) {
    Rows[Endpoint.Row].LatestGain = ++LatestGain;
  }
  /// Number of the latest gain of any endpoint; never 0.
  uint64_t latestGain() const { return LatestGain; }

private:
  /// The class of endpoints with opportunistic tasks.
  static constexpr size_t MixedClass = 256;

  static size_t roomClassOf(int64_t MilliCpu);
  static size_t roomClassOf(const Row &Of);
  void addToClass(size_t Row);
  void removeFromClass(size_t Row);

  Entries ById;
  std::vector<Row> Rows;
  /// The rows by free CPU; the last class before `MixedClass` holds all with
  /// more.
  std::array<std::vector<size_t>, MixedClass + 1> ByRoom;
  uint64_t LatestGain = 1;
};

} // namespace teaselwalk::cell
