#include "teaselwalk/fakes/endpoint_model.hpp"

#include <gtest/gtest.h>

namespace teaselwalk::fakes {
namespace {

using protocol::AttemptId;
using protocol::EndpointState;
using protocol::RunCommand;
using protocol::RunResult;
using protocol::StaleEpoch;
using protocol::StopMode;

const Epoch First{1, ProcessId("a")};
const Epoch Second{2, ProcessId("a")};

RunCommand commandOf(const std::string &Task, int64_t RunMs) {
  RunCommand Command;
  Command.Owner = First;
  Command.Id = {TaskId(Task), 1};
  Command.Team = TeamId("t");
  Command.Size = {1000, 1024, 0, 1, 1};
  Command.Lease = Duration(30000);
  Command.RunTime = Duration(RunMs);
  return Command;
}

class EndpointModelTest : public ::testing::Test {
protected:
  void SetUp() override { Model.attach({First}, timeAt(0)); }

  EndpointState stateAt(int64_t Ms, std::vector<AttemptId> Renewed = {},
                        std::vector<AttemptId> Acknowledged = {}) {
    auto Answer = Model.renew(
        {First, Duration(30000), std::move(Renewed), std::move(Acknowledged)},
        timeAt(Ms));
    return std::get<EndpointState>(Answer);
  }

  template <typename Answer> bool runs(const RunCommand &Command, int64_t Ms) {
    return std::holds_alternative<Answer>(Model.run(Command, timeAt(Ms)));
  }

  EndpointModel Model{EndpointOptions()};
};

// Guards against leases that are extended for a set of tasks which the owner
// does not know, and against a digest that depends on the order.
TEST_F(EndpointModelTest, DigestExtendsExactlyTheTasksItStandsFor) {
  ASSERT_TRUE(runs<RunStarted>(commandOf("j/0", 0), 0));
  ASSERT_TRUE(runs<RunStarted>(commandOf("j/1", 0), 0));
  auto RenewAt = [&](int64_t Ms, std::vector<AttemptId> Known) {
    protocol::RenewCommand Command{First, Duration(30000), {}, {}};
    Command.AttemptsHash = protocol::attemptsHash(std::move(Known));
    return std::get<EndpointState>(Model.renew(Command, timeAt(Ms)));
  };
  EndpointState Same = RenewAt(20000, {{TaskId("j/1"), 1}, {TaskId("j/0"), 1}});
  EXPECT_TRUE(Same.Unchanged);
  EXPECT_TRUE(Same.Tasks.empty());
  EndpointState Other = RenewAt(40000, {{TaskId("j/0"), 1}});
  EXPECT_FALSE(Other.Unchanged);
  EXPECT_EQ(Other.Tasks.size(), 2U);
  Model.advance(timeAt(49999));
  EXPECT_EQ(Model.inUse().Slots, 2);
  Model.advance(timeAt(50000));
  EXPECT_EQ(Model.inUse().Slots, 0);
}

// Guards against two owners acting on one endpoint.
TEST_F(EndpointModelTest, LowerEpochHasNoEffect) {
  ASSERT_TRUE(runs<RunStarted>(commandOf("j/0", 0), 0));
  Model.attach({Second}, timeAt(1));
  EXPECT_TRUE(runs<StaleEpoch>(commandOf("j/1", 0), 2));
  EXPECT_TRUE(std::holds_alternative<StaleEpoch>(
      Model.stop({First, {TaskId("j/0"), 1}, StopMode::Stop}, timeAt(2))));
  auto Answer = Model.renew({First, Duration(90000), {{TaskId("j/0"), 1}}, {}},
                            timeAt(3));
  EXPECT_EQ(std::get<StaleEpoch>(Answer).Owner, Second);
  Model.advance(timeAt(30000));
  ASSERT_EQ(Model.log().size(), 1U);
  EXPECT_EQ(Model.log()[0].Ended, RunEnd::LeaseExpired);
  EXPECT_EQ(Model.peak().StaleCommands, 3U);
}

// Guards against a capacity check that forgets a component or what runs.
TEST_F(EndpointModelTest, NeverExceedsItsCapacity) {
  for (int I = 0; I < 8; ++I)
    ASSERT_TRUE(runs<RunStarted>(commandOf("j/" + std::to_string(I), 100), 0));
  EXPECT_TRUE(runs<RunRefused>(commandOf("j/8", 100), 99));
  EXPECT_TRUE(runs<RunStarted>(commandOf("j/8", 100), 100));
  RunCommand Huge = commandOf("j/9", 100);
  Huge.Size.MemoryMb = INT64_MAX;
  EXPECT_TRUE(runs<RunRefused>(Huge, 100));
  Huge.Size.MemoryMb = -1;
  EXPECT_TRUE(runs<RunRefused>(Huge, 100));
  EXPECT_EQ(Model.peak().Largest.Slots, 8);
  EXPECT_EQ(Model.peak().Refused, 3U);
}

// Guards against a repeated message running a task twice, at any later time.
TEST_F(EndpointModelTest, RefusesDuplicatesOfAnAttempt) {
  RunCommand Command = commandOf("j/0", 100);
  Command.Payload = R"({"run_ms":20,"result":"r"})";
  ASSERT_TRUE(runs<RunStarted>(Command, 0));
  EXPECT_TRUE(runs<RunDuplicate>(Command, 19));
  EXPECT_TRUE(runs<RunResult>(Command, 20));
  stateAt(21, {}, {Command.Id});
  EXPECT_TRUE(runs<RunForgotten>(Command, 22));
  EXPECT_EQ(Model.log().size(), 1U);
  Command.Id.Number = 2;
  EXPECT_TRUE(runs<RunStarted>(Command, 23));
}

// Guards against a result lost between its end and the owner's acknowledgement.
TEST_F(EndpointModelTest, KeepsResultsUntilAcknowledged) {
  RunCommand Command = commandOf("j/0", 50);
  Command.Payload = R"({"result":"r","fail":true})";
  Model.run(Command, timeAt(0));
  EXPECT_EQ(stateAt(49).Tasks.size(), 1U);
  for (int64_t Ms : {50, 5000}) {
    EndpointState State = stateAt(Ms);
    EXPECT_TRUE(State.Tasks.empty());
    ASSERT_EQ(State.Finished.size(), 1U);
    EXPECT_EQ(State.Finished[0].Result, "r");
    EXPECT_FALSE(State.Finished[0].Ok);
  }
  EXPECT_TRUE(stateAt(5001, {}, {Command.Id}).Finished.empty());
}

// Guards against tasks that outlive the contact to their owner.
TEST_F(EndpointModelTest, TaskEndsWithItsLease) {
  Model.run(commandOf("j/0", 0), timeAt(0));
  Model.run(commandOf("j/1", 0), timeAt(0));
  EXPECT_EQ(stateAt(20000, {{TaskId("j/0"), 1}}).Tasks.size(), 2U);
  // An attach extends no lease.
  Model.attach({First}, timeAt(29000));
  EXPECT_EQ(Model.nextEnd(), timeAt(30000));
  EXPECT_EQ(stateAt(30000).Tasks.size(), 1U);
  EXPECT_TRUE(stateAt(50000).Tasks.empty());
  EXPECT_TRUE(stateAt(50000).Finished.empty());
  EXPECT_EQ(Model.inUse(), Resources());
}

// Guards against an owner that reads usage as available at once.
TEST_F(EndpointModelTest, UsageLagsAndFollowsThrottling) {
  Model.run(commandOf("j/0", 0), timeAt(0));
  EXPECT_EQ(stateAt(999).Tasks[0].Usage, Resources());
  EXPECT_EQ(stateAt(1000).Tasks[0].Usage.MilliCpu, 600);
  Model.stop({First, {TaskId("j/0"), 1}, StopMode::Checkpoint}, timeAt(1001));
  Model.stop({First, {TaskId("j/0"), 1}, StopMode::Throttle}, timeAt(1001));
  EXPECT_EQ(stateAt(1002).Tasks[0].Usage.MilliCpu, 300);
  Model.stop({First, {TaskId("j/0"), 1}, StopMode::Stop}, timeAt(1003));
  EXPECT_TRUE(stateAt(1003).Tasks.empty());
  EXPECT_EQ(Model.log()[0].Ended, RunEnd::Stopped);
}

// Guards against a delayed run command that starts a task which its owner has
// already started elsewhere.
TEST_F(EndpointModelTest, StoppedAttemptNeverStartsLater) {
  auto Stop = [&](int64_t Ms) {
    auto Answer =
        Model.stop({First, {TaskId("j/0"), 1}, StopMode::Stop}, timeAt(Ms));
    return std::get<protocol::StopResult>(Answer).State;
  };
  EXPECT_EQ(Stop(0), protocol::StopState::NeverStarted);
  EXPECT_TRUE(runs<RunForgotten>(commandOf("j/0", 0), 1));
  EXPECT_TRUE(Model.log().empty());
}

// Guards against an owner that relies on attempts which a restarted endpoint
// has forgotten (a second run of non-idempotent work).
TEST_F(EndpointModelTest, RestartedEndpointTakesNoCommandBeforeAnAttach) {
  ASSERT_TRUE(runs<RunStarted>(commandOf("j/0", 0), 0));
  Model.crash(timeAt(1));
  EXPECT_TRUE(runs<StaleEpoch>(commandOf("j/1", 0), 2));
  EXPECT_TRUE(std::holds_alternative<StaleEpoch>(
      Model.stop({First, {TaskId("j/0"), 1}, StopMode::Stop}, timeAt(2))));
  Model.attach({First}, timeAt(3));
  EXPECT_TRUE(runs<RunStarted>(commandOf("j/1", 0), 4));
}

// Guards against tests that rely on the extensions without noticing.
TEST_F(EndpointModelTest, PlainHasNeitherEpochsNorResults) {
  Model.options().Plain = true;
  Model.attach({Second}, timeAt(0));
  EXPECT_TRUE(runs<RunStarted>(commandOf("j/0", 10), 1));
  EXPECT_TRUE(stateAt(11).Finished.empty());
  EXPECT_EQ(Model.takeEnded().size(), 1U);
}

} // namespace
} // namespace teaselwalk::fakes
