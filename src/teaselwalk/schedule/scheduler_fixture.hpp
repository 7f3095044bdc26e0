#pragma once

#include "teaselwalk/schedule/scheduler.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

/// A scheduler with two teams and two queues for the tests of this module.
namespace teaselwalk::schedule {

const Resources EndpointCapacity{64000, 131072, 0, 8, 60};

struct SchedulerTest : testing::Test {
  Scheduler S;
  TimePoint Now = timeAt(0);

  void SetUp() override {
    S.setTeam(TeamId("blue"), {});
    S.setTeam(TeamId("red"), {});
    S.setQueue(QueueId("batch"), TaskClass::Batch);
    S.setQueue(QueueId("call"), TaskClass::Call);
  }

  /// Opens endpoints e0, e1, ... with eight to a rack.
  void endpoints(int Count, const Resources &Capacity = EndpointCapacity) {
    for (int I = 0; I < Count; ++I)
      S.setEndpoint({EndpointId("e" + std::to_string(I)), DataCentreId("d"),
                     RackId("r" + std::to_string(I / 8)), Capacity});
  }

  static WorkSpec work(const char *Team, const Resources &Size,
                       int64_t RunMs = 0, const char *Queue = "batch") {
    WorkSpec Spec;
    Spec.Team = TeamId(Team);
    Spec.Queue = QueueId(Queue);
    Spec.Size = Size;
    Spec.RunTime = Duration(RunMs);
    return Spec;
  }

  static std::vector<TaskId> taskIds(const std::string &Prefix, int Count) {
    std::vector<TaskId> Result;
    Result.reserve(static_cast<size_t>(Count));
    for (int I = 0; I < Count; ++I)
      Result.emplace_back(Prefix + "/" + std::to_string(I));
    return Result;
  }

  /// All starts that are possible now.
  std::vector<Placement> decide() {
    std::vector<Placement> Out;
    while (S.decide(Now, Out))
      ;
    return Out;
  }
};

} // namespace teaselwalk::schedule
