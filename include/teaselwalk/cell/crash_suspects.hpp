#pragma once

#include "teaselwalk/cell/job.hpp"
#include "teaselwalk/cell/ports.hpp"

#include <unordered_map>
#include <vector>

/// Finds out which task has crashed its endpoint. A task that crashes the
/// endpoints that start it does so soon after its start, so the suspects are
/// the runs that had just been started. A suspected task is then started in
/// isolation: no other start on that endpoint comes close to its own, so a
/// second crash has no other suspect.
namespace teaselwalk::cell {

/// A run that has lived this long is not suspected of a crash.
constexpr Duration SuspicionWindow{400};

/// A task is given up after this many crashes if the last one has no other
/// explanation.
constexpr int32_t CrashesToGiveUp = 2;
/// A task is given up after this many crashes in any case.
constexpr int32_t MaxCrashes = 4;

/// An endpoint crashed at an unknown time between these two.
struct CrashTime {
  TimePoint LastAliveAt;    ///< Its last answer.
  TimePoint FirstFailureAt; ///< The first call that failed after it.
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
