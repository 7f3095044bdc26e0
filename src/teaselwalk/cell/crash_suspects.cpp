#include "teaselwalk/cell/crash_suspects.hpp"

#include <algorithm>
#include <iterator>

namespace teaselwalk::cell {
namespace {

/// This many other endpoints that are lost at the same time show a common
/// cause, even if each of them has suspects of its own.
constexpr int SimultaneousLosses = 2;

/// Losses are forgotten after this time. A crash is recognised at the latest
/// when the leases of the endpoint have ended.
constexpr Duration LossesKept{30000};

bool mayCoincide(const CrashTime &A, const CrashTime &B) {
  return A.LastAliveAt <= B.FirstFailureAt && B.LastAliveAt <= A.FirstFailureAt;
}

} // namespace

std::vector<RunAtCrash> suspectsOf(const CrashTime &Crash,
                                   const std::vector<RunAtCrash> &Runs) {
  std::vector<RunAtCrash> Suspects;
  std::copy_if(Runs.begin(), Runs.end(), std::back_inserter(Suspects),
               [&](const RunAtCrash &Run) {
                 bool IsRecent =
                     Run.StartedAt > Crash.LastAliveAt - SuspicionWindow;
                 // Starts that were sent after the crash have not caused it.
                 bool IsEarlier = Run.StartedAt <= Crash.FirstFailureAt;
                 return !Run.IsStartKnown || (IsRecent && IsEarlier);
               });
  return Suspects;
}

void LostEndpoints::add(const EndpointId &Id, const CrashTime &Crash,
                        bool HasSuspects) {
  for (auto It = Losses.begin(); It != Losses.end();) {
    bool IsOld =
        Crash.FirstFailureAt - It->second.Crash.FirstFailureAt > LossesKept;
    It = IsOld ? Losses.erase(It) : std::next(It);
  }
  Losses[Id] = {Crash, HasSuspects};
}

bool LostEndpoints::haveCommonCause(const EndpointId &Id,
                                    const CrashTime &Crash) const {
  int Simultaneous = 0;
  for (const auto &[Other, Loss] : Losses) {
    if (Other == Id || !mayCoincide(Loss.Crash, Crash))
      continue;
    if (!Loss.HasSuspects)
      return true;
    ++Simultaneous;
  }
  return Simultaneous >= SimultaneousLosses;
}

} // namespace teaselwalk::cell
