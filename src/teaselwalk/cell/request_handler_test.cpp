#include "testing/fake_world.hpp"

#include "teaselwalk/cell/keys.hpp"

#include <gtest/gtest.h>

namespace teaselwalk::cell::testing {
namespace {

class RequestHandlerTest : public ::testing::Test {
protected:
  RequestHandlerTest() {
    World.StatusKept = Duration(120000);
    World.addEndpoints(2);
    World.addProcesses(2);
    World.Clock.runFor(Duration(1500));
    Job = World.job(1, {World.step(1)});
  }

  RequestOutcome answerTo(CallerAction Action, size_t Process = 0,
                          const std::string &Key = "key") {
    auto Answers = World.send(Process, Action, Job, Key);
    World.Clock.runFor(Duration(4000));
    EXPECT_EQ(Answers->size(), 1U);
    return Answers->empty() ? RequestOutcome::Uncertain : Answers->front().Kind;
  }

  FakeWorld World;
  JobSpec Job;
};

// Guards against accepting a submission whose key belongs to no team.
TEST_F(RequestHandlerTest, RefusesUnknownKeys) {
  EXPECT_EQ(answerTo(CallerAction::Submit, 0, "other"),
            RequestOutcome::KeyUnknown);
  EXPECT_EQ(answerTo(CallerAction::Submit, 0, ""), RequestOutcome::KeyUnknown);
  EXPECT_FALSE(World.Store.has(jobKey(Job.Id)));
}

// Guards against a revoked key that keeps working at a process that cannot
// reach the store and so does not learn of the revocation.
TEST_F(RequestHandlerTest, RefusesAllWhenTheConfigurationIsNotConfirmed) {
  World.Processes[0]->Store.IsSilent = true;
  World.Clock.runFor(Duration(5000));
  EXPECT_FALSE(World.Processes[0]->Core->isReady());
  EXPECT_EQ(answerTo(CallerAction::Status), RequestOutcome::Refused);
}

// Guards against refusing a submission whose write had no answer and may still
// take effect.
TEST_F(RequestHandlerTest, NeverRefusesAfterALostAnswer) {
  constexpr int AllAttempts = 100;
  World.Processes[0]->Store.DelayWrites = AllAttempts;
  EXPECT_EQ(answerTo(CallerAction::Submit), RequestOutcome::Uncertain);
  World.Processes[0]->Store.DelayWrites = 0;
  World.Clock.runFor(Duration(8000));
  EXPECT_EQ(World.Cluster.Starts, 1) << "the delayed write is an accepted job";
}

// Guards against a submission that is refused or run twice after the answer to
// its first write is lost.
TEST_F(RequestHandlerTest, RepeatsAWriteWithoutAnswer) {
  World.Processes[0]->Store.LoseAnswers = 1;
  EXPECT_EQ(answerTo(CallerAction::Submit), RequestOutcome::Done);
  EXPECT_EQ(answerTo(CallerAction::Submit, 1), RequestOutcome::Done);
  EXPECT_EQ(World.Cluster.Starts, 1);
}

// Guards against a delayed refusal where the store's answer shows that nothing
// was stored.
TEST_F(RequestHandlerTest, RefusesAtOnceWhenTheStoreRefuses) {
  World.Processes[0]->Store.IsRefusing = true;
  auto Answers = World.send(0, CallerAction::Submit, Job);
  World.Clock.runFor(Duration(50));
  ASSERT_EQ(Answers->size(), 1U);
  EXPECT_EQ(Answers->front().Kind, RequestOutcome::Refused);
  EXPECT_GT(Answers->front().RetryAfter.count(), 0);
}

// Guards against a process that has lost the store while others reach it: its
// callers must not wait for their deadline, and the load balancer must not send
// it more of them.
TEST_F(RequestHandlerTest, RefusesWritesAtOnceWhenTheStoreIsOutOfReach) {
  World.Processes[0]->Store.IsSilent = true;
  World.Clock.runFor(Duration(1500));
  EXPECT_FALSE(World.Processes[0]->Core->isReady());
  auto Answers = World.send(0, CallerAction::Submit, Job);
  World.Clock.runFor(Duration(10));
  ASSERT_EQ(Answers->size(), 1U);
  EXPECT_EQ(Answers->front().Kind, RequestOutcome::Refused);
  World.Processes[0]->Store.IsSilent = false;
  World.Clock.runFor(Duration(1500));
  EXPECT_TRUE(World.Processes[0]->Core->isReady());
}

// Guards against accepting a body above the configured size limit.
TEST_F(RequestHandlerTest, RefusesLargeBodies) {
  World.Config.Limits.MaxBodyBytes = 5;
  World.Store.put(ConfigKey, "2");
  World.Clock.runFor(Duration(1500));
  EXPECT_EQ(answerTo(CallerAction::Submit), RequestOutcome::Malformed);
  EXPECT_FALSE(World.Store.has(jobKey(Job.Id)));
}

// Guards against a job that runs although its cancellation was acknowledged
// with "no such job": a write of its record was still under way.
TEST_F(RequestHandlerTest, ALateWriteDoesNotUndoACancellation) {
  constexpr int AllAttempts = 100;
  World.Processes[0]->Store.DelayWrites = AllAttempts;
  World.Processes[0]->Store.WriteDelay = Duration(9000);
  EXPECT_EQ(answerTo(CallerAction::Submit), RequestOutcome::Uncertain);
  World.Processes[0]->Store.DelayWrites = 0;
  EXPECT_EQ(answerTo(CallerAction::Cancel, 1), RequestOutcome::NoJob);
  World.Clock.runFor(Duration(12000));
  EXPECT_EQ(World.Cluster.Starts, 0);
  EXPECT_FALSE(World.Store.has(jobKey(Job.Id)));
  // The caller's repeated submission arrives after its cancellation.
  EXPECT_EQ(answerTo(CallerAction::Submit, 1), RequestOutcome::NoJob);
  EXPECT_EQ(answerTo(CallerAction::Status, 1), RequestOutcome::NoJob);
  EXPECT_EQ(World.Cluster.Starts, 0);
}

// Guards against a cancellation that is lost because the job is stored between
// the look-up and the mark of the cancellation.
TEST_F(RequestHandlerTest, CancelsAJobThatIsStoredMeanwhile) {
  World.Cluster.DefaultWork.Length = Duration(8000);
  World.Processes[1]->Store.Latency = Duration(60);
  auto Cancelled = World.send(1, CallerAction::Cancel, Job);
  World.Clock.runFor(Duration(100));
  EXPECT_EQ(answerTo(CallerAction::Submit), RequestOutcome::Done);
  ASSERT_EQ(Cancelled->size(), 1U);
  EXPECT_EQ(Cancelled->front().Kind, RequestOutcome::Done);
  EXPECT_EQ(World.status(0, Job).State, JobPhase::Cancelled);
}

// Guards against marks of cancellations that stay in the store for ever, and
// against one that is removed while a late write may still take effect.
TEST_F(RequestHandlerTest, MarksOfUnknownJobsAreRemovedAfterAWhile) {
  EXPECT_EQ(answerTo(CallerAction::Cancel), RequestOutcome::NoJob);
  World.Clock.runFor(World.StatusKept - Duration(10000));
  EXPECT_TRUE(World.Store.has(cancelKey(Job.Id)));
  World.Clock.runFor(Duration(20000));
  EXPECT_FALSE(World.Store.has(cancelKey(Job.Id)));
  EXPECT_EQ(answerTo(CallerAction::Submit), RequestOutcome::Done);
}

// Guards against a job that a new owner starts because it does not know of the
// cancellation: a process of a former version stores its record without regard
// to the mark.
TEST_F(RequestHandlerTest, ANewOwnerKnowsCancellationsOfUnknownJobs) {
  EXPECT_EQ(answerTo(CallerAction::Cancel), RequestOutcome::NoJob);
  JobSpec Stored = Job;
  Stored.Queue = "batch";
  Stored.Team = "team";
  Stored.Policy = World.Config.Queues.front().Policy;
  Stored.AcceptedMs = World.Clock.wallMillis();
  World.kill(World.ownerIndex());
  World.Store.put(jobKey(Job.Id), encodeJob(Stored));
  World.Clock.runFor(Duration(9000));
  EXPECT_EQ(World.Cluster.Starts, 0);
}

// Guards against answering for a job that nobody submitted.
TEST_F(RequestHandlerTest, ReportsUnknownJobs) {
  EXPECT_EQ(answerTo(CallerAction::Status), RequestOutcome::NoJob);
  EXPECT_EQ(answerTo(CallerAction::Cancel), RequestOutcome::NoJob);
}

// Guards against status queries that fail while there is no owner.
TEST_F(RequestHandlerTest, AnswersFromTheStoreWithoutAnOwner) {
  EXPECT_EQ(answerTo(CallerAction::Submit), RequestOutcome::Done);
  size_t Owner = World.ownerIndex();
  World.kill(Owner);
  CallerAnswer Answer = World.status(1 - Owner, Job);
  EXPECT_EQ(Answer.Kind, RequestOutcome::Done);
  EXPECT_EQ(Answer.State, JobPhase::Completed);
}

// Guards against a query for the pending jobs that is not answered.
TEST_F(RequestHandlerTest, AnswersPendingQueries) {
  World.Config.Teams[0].Limit.MilliCpu = 1;
  EXPECT_EQ(answerTo(CallerAction::Submit), RequestOutcome::Done);
  auto Answers = World.send(1, CallerAction::Pending, Job);
  // The new limit does not apply: the store was not told of a new version.
  World.Clock.runFor(Duration(100));
  ASSERT_EQ(Answers->size(), 1U);
  EXPECT_EQ(Answers->front().Kind, RequestOutcome::Done);
}

} // namespace
} // namespace teaselwalk::cell::testing
