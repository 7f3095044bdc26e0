#pragma once

#include "teaselwalk/cell/job.hpp"
#include "teaselwalk/cell/ports.hpp"

#include <unordered_map>
#include <vector>

/// Finds out which task has crashed its endpoint. A task that crashes the
/// endpoints that start it does so soon after its start, so the suspects are
/// the runs that had just been started. A suspected task is then started in
/// isolation: no other start on that endpoint comes close to its own, so
/// another crash has no other suspect.
///
/// Only another incarnation of an endpoint proves that it has crashed. One that
/// is silent may be cut off, whether its entry is listed or not, so a crash is
/// suspected until the endpoint answers: as the same incarnation, which takes
/// the suspicion back, or as another one, which confirms it.
namespace teaselwalk::cell {

/// A run that has lived this long is not suspected of a crash.
constexpr Duration SuspicionWindow{400};

/// A task is given up after this many crashes if the last one has no other
/// explanation. With as many crashes, confirmed and suspected, it is not
/// started until a suspicion is settled.
constexpr int32_t CrashesToGiveUp = 3;
/// A task is given up after this many crashes in any case.
constexpr int32_t MaxCrashes = 4;
/// An endpoint that is silent for this long counts as crashed for a task that
/// is not started until the suspicion is settled.
constexpr Duration LongestSilence{30000};

/// An endpoint crashed at an unknown time between these two.
struct CrashTime {
  TimePoint LastAliveAt;    ///< Its last answer.
  TimePoint FirstFailureAt; ///< The first call that failed after it.
};

/// An endpoint that has been silent since soon after it started a run of a
/// task, so that the run may have crashed it.
struct SuspectedCrash {
  EndpointId Endpoint;
  int64_t IncarnationMs = 0; ///< The one that started the run; 0: unknown.
  int64_t Attempt = 0;
  /// Since then this owner has seen no sign of life. Not stored: a later owner
  /// has to wait for one itself.
  TimePoint Since;
  /// Others were lost at the same time, so the run is hardly the cause.
  bool HasCommonCause = false;
};

/// A run on an endpoint that crashed.
struct RunAtCrash {
  TaskKey Task;
  int64_t Attempt = 0;
  /// When it was started, or a later time at which it was alive.
  TimePoint StartedAt;
  /// False if a former owner has sent the start and nothing has shown since
  /// whether the run was alive.
  bool IsStartKnown = true;
  int64_t IncarnationMs = 0; ///< Of the endpoint; 0: unknown.

  /// False if the run may be one of incarnation \p NowMs.
  bool isOfFormerIncarnation(int64_t NowMs) const {
    return IncarnationMs != 0 && IncarnationMs != NowMs;
  }
};

/// The runs in \p Runs that may have crashed their endpoint.
std::vector<RunAtCrash> suspectsOf(const CrashTime &Crash,
                                   const std::vector<RunAtCrash> &Runs);

/// The endpoints that have stopped answering lately. Shows whether the crash of
/// one of them may have a cause that it shares with others, such as a power
/// failure.
class LostEndpoints {
public:
  /// \p HasSuspects: a run may have crashed the endpoint.
  void add(const EndpointId &Id, const CrashTime &Crash, bool HasSuspects);
  /// The endpoint answers again and has not crashed.
  void remove(const EndpointId &Id) { Losses.erase(Id); }
  /// True if another endpoint without suspects, or several others, may have
  /// been lost at the same time as \p Id.
  bool haveCommonCause(const EndpointId &Id, const CrashTime &Crash) const;

private:
  struct Loss {
    CrashTime Crash;
    bool HasSuspects = false;
  };
  std::unordered_map<EndpointId, Loss> Losses;
};

} // namespace teaselwalk::cell
