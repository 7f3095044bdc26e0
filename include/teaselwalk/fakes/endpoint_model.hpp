#pragma once

#include "teaselwalk/base/time.hpp"
#include "teaselwalk/base/verdict.hpp"
#include "teaselwalk/protocol/endpoint.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace teaselwalk::fakes {

struct EndpointOptions {
  std::string Name;
  Resources Capacity{64000, 131072, 0, 8, 60};
  Duration UsageLag{1000}; ///< Until a task's usage is reported.
  int UsagePercent = 60;   ///< Of its reservation that a task uses.
  bool Plain = false;      ///< No epoch check and no retained results.
  bool FailAll = false;    ///< Every task ends without success, at once.
};

/// Why an attempt no longer runs.
enum class RunEnd { Running, Finished, Failed, Stopped, LeaseExpired, Crashed };

constexpr std::array<EnumName<RunEnd>, 6> RunEndNames = {{
    {RunEnd::Running, "running"},
    {RunEnd::Finished, "finished"},
    {RunEnd::Failed, "failed"},
    {RunEnd::Stopped, "stopped"},
    {RunEnd::LeaseExpired, "lease_expired"},
    {RunEnd::Crashed, "crashed"},
}};

/// One attempt that started. The log is what an outside counter relies on.
struct RunRecord {
  protocol::AttemptId Id;
  TeamId Team;
  Resources Size;
  Epoch Owner;
  TimePoint Start;
  std::optional<TimePoint> End; ///< Nothing while it runs.
  RunEnd Ended = RunEnd::Running;
  bool WhileLeaving = false; ///< Started after the endpoint began to leave.
  std::string Mark; ///< Up to 128 bytes of the result that it produces.
};

/// The end of an attempt, for whoever waits for it.
struct EndedAttempt {
  protocol::AttemptId Id;
  RunEnd Why = RunEnd::Finished;
  protocol::RunResult Result; ///< Not ok, with the reason, if it was ended.
};

/// Largest use seen and attempts to exceed the capacity.
struct PeakUse {
  Resources Largest; ///< Maximum of each component on its own.
  uint64_t Refused = 0;
  uint64_t StaleCommands = 0;
  uint64_t Duplicates = 0;
};

/// The attempt was started.
struct RunStarted {};
/// The endpoint runs this attempt already.
struct RunDuplicate {};
/// The attempt has ended here before and its result is no longer kept.
struct RunForgotten {};
/// There is no room; nothing was started.
struct RunRefused {};

using RunAnswer =
    std::variant<RunStarted, RunDuplicate, RunForgotten, RunRefused,
                 protocol::RunResult, protocol::StaleEpoch>;
using StateAnswer = std::variant<protocol::EndpointState, protocol::StaleEpoch>;
using StopAnswer = std::variant<protocol::StopResult, protocol::StaleEpoch>;

/// An endpoint in memory. Only an attach changes the epoch held; every other
/// command must carry exactly that epoch. After a restart none is held, so that
/// the owner learns of the restart before it relies on forgotten attempts.
///
/// A task's true run time and result come from its payload if that is a JSON
/// object such as `{"run_ms":20,"result":"x","fail":true}`. Otherwise it takes
/// the declared time and its result is its payload. A task with neither runs
/// until it is stopped; with `wait` it ends at once.
class EndpointModel {
public:
  explicit EndpointModel(EndpointOptions Options);

  StateAnswer attach(const protocol::AttachCommand &Command, TimePoint Now);
  RunAnswer run(const protocol::RunCommand &Command, TimePoint Now);
  StateAnswer renew(const protocol::RenewCommand &Command, TimePoint Now);
  StopAnswer stop(const protocol::StopCommand &Command, TimePoint Now);

  /// Ends tasks whose time or lease is over. All commands do this first.
  void advance(TimePoint Now);

  /// When the next task ends by itself, if one does.
  std::optional<TimePoint> nextEnd() const;

  /// The attempts that ended since the last call, for whatever reason.
  std::vector<EndedAttempt> takeEnded();

  /// Loses all tasks, results and the epoch, as a restart of the VM does.
  void crash(TimePoint Now);

  void setLeaving(bool Value) { Leaving = Value; }
  EndpointOptions &options() { return Options; }
  const EndpointOptions &options() const { return Options; }
  const Resources &inUse() const { return InUse; }
  const std::vector<RunRecord> &log() const { return Log; }
  const PeakUse &peak() const { return Peak; }

private:
  struct Task {
    protocol::RunCommand Command;
    TimePoint Start;
    TimePoint LeaseEnd;
    std::optional<TimePoint> End; ///< Nothing: runs until stopped.
    bool Ok = true;
    std::string Result;
    bool Throttled = false;
    size_t LogIndex = 0;
  };
  using Key = std::pair<std::string, uint32_t>;

  bool acceptAttach(const Epoch &Owner);
  bool accept(const Epoch &Owner);
  RunAnswer duplicate(const Key &Id);
  void start(const protocol::RunCommand &Command, TimePoint Now);
  void end(const Key &Id, TimePoint At, RunEnd Why);
  protocol::EndpointState state(TimePoint Now) const;
  uint64_t runningDigest() const;
  Resources usageOf(const Task &Value, TimePoint Now) const;

  EndpointOptions Options;
  Epoch Held;
  bool Leaving = false;
  std::map<Key, Task> Tasks;
  std::set<Key> Past; ///< Every attempt that has ended here.
  std::map<Key, protocol::RunResult> Retained; ///< Until acknowledged.
  std::vector<EndedAttempt> Ended;
  Resources InUse;
  std::vector<RunRecord> Log;
  PeakUse Peak;
};

} // namespace teaselwalk::fakes
