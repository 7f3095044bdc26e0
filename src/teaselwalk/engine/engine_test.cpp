#include "teaselwalk/engine/record.hpp"
#include "teaselwalk/world/world.hpp"

#include <gtest/gtest.h>

namespace teaselwalk::engine {
namespace {

using protocol::JobKind;
using protocol::JobState;
using protocol::Refusal;
using world::World;

protocol::JobSpec makeSpec(JobKind Kind, uint32_t Tasks, int64_t RunMs) {
  protocol::JobSpec Spec;
  Spec.Name = "test";
  Spec.Kind = Kind;
  Spec.Queue = QueueId(Kind == JobKind::Service ? "watch" : "batch");
  Spec.Tasks = Tasks;
  Spec.Size = {1000, 1000, 0, 1, 1};
  Spec.RunTime = Duration(RunMs);
  return Spec;
}

/// The latest state of \p Job as a caller sees it at \p Process.
protocol::JobStatus statusOf(World &W, size_t Process, const JobId &Job) {
  RequestToken Asked = W.query(Process, Job);
  W.runUntil([&] { return W.StatusAnswers.count(Asked) != 0; }, Duration(3000));
  return W.StatusAnswers[Asked].Status;
}

bool jobEnds(World &W, size_t Process, const JobId &Job, Duration Limit) {
  TimePoint End = W.now() + Limit;
  while (W.now() < End) {
    if (isEnded(statusOf(W, Process, Job).State))
      return true;
    W.runFor(Duration(200));
  }
  return false;
}

/// The process that has authority over \p Shard.
size_t ownerOf(const World &W, uint32_t Shard) {
  for (size_t I = 0; I < W.Processes.size(); ++I) {
    if (!W.Processes[I].Core)
      continue;
    for (uint32_t Held : W.Processes[I].Core->heartbeat(W.now()).Shards)
      if (Held == Shard)
        return I;
  }
  return W.Processes.size();
}

// Guards against a path that loses or mixes up answers.
TEST(EngineTest, CallsReceiveTheirOwnResults) {
  World W;
  ASSERT_TRUE(W.settle());
  std::vector<RequestToken> Asked;
  Asked.reserve(40);
  for (int I = 0; I < 40; ++I)
    Asked.push_back(W.call(
        static_cast<size_t>(I % 2),
        R"({"run_ms":30,"result":"answer-)" + std::to_string(I) + "\"}", true));
  W.runFor(Duration(3000));
  for (int I = 0; I < 40; ++I) {
    const protocol::CallAnswer &Got = W.CallAnswers[Asked[I]];
    EXPECT_EQ(Got.Outcome, Verdict::Ran) << Got.Message;
    EXPECT_EQ(Got.Result, "answer-" + std::to_string(I));
  }
  EXPECT_EQ(W.overlaps(), std::vector<std::string>());
}

// Guards against leases that run out while renewals carry a digest in place of
// the tasks, with other tasks that come and go on the same endpoints.
TEST(EngineTest, UnchangedTasksKeepTheirLeases) {
  World W;
  ASSERT_TRUE(W.settle());
  W.submit(0, makeSpec(JobKind::Service, 12, 0), "service");
  for (int I = 0; I < 120; ++I) {
    if (I > 40)
      W.call(0, R"({"run_ms":900,"result":"x"})", true);
    W.runFor(Duration(1000));
  }
  size_t Services = 0;
  for (const auto &Row : W.runs()) {
    if (Row.first.compare(0, 5, "call/") == 0)
      continue;
    ++Services;
    ASSERT_EQ(Row.second.size(), 1U) << Row.first;
    EXPECT_EQ(Row.second[0].Ended, fakes::RunEnd::Running) << Row.first;
  }
  EXPECT_EQ(Services, 12U);
}

// Guards against a task that an endpoint lost by a restart but that counts as
// running for ever, because renewals no longer list it.
TEST(EngineTest, TaskLostInARestartIsNoticed) {
  World W;
  ASSERT_TRUE(W.settle());
  RequestToken Asked =
      W.submit(0, makeSpec(JobKind::Service, 12, 0), "service");
  W.runFor(Duration(5000));
  JobId Job = W.JobAnswers.at(Asked).Job;
  auto CountRunning = [&] {
    size_t Running = 0;
    for (const protocol::TaskStatus &Task : statusOf(W, 0, Job).Tasks)
      Running += Task.State == protocol::TaskState::Running ? 1 : 0;
    return Running;
  };
  ASSERT_EQ(CountRunning(), 12U);
  for (auto &Row : W.Endpoints)
    Row.second->crash(W.now());
  W.runFor(Duration(2500));
  size_t AtEndpoints = 0;
  for (const auto &Row : W.Endpoints)
    AtEndpoints += static_cast<size_t>(Row.second->inUse().Slots);
  EXPECT_EQ(CountRunning(), AtEndpoints);
  // The tasks of a service start again, whatever rest their endpoints need.
  EXPECT_TRUE(
      W.runUntil([&] { return CountRunning() == 12; }, Duration(60000)));
  EXPECT_EQ(W.overlaps(), std::vector<std::string>());
}

// Guards against a process that is cut off from the store and asks its peers
// too rarely, so that its document becomes too old to start tasks.
TEST(EngineTest, PeersConfirmTheDocumentOfAProcessWithoutStore) {
  World W;
  ASSERT_TRUE(W.settle());
  W.Processes[1].StoreCut = true;
  for (int I = 0; I < 200; ++I) {
    W.runFor(Duration(100));
    ASSERT_LT(W.Processes[1].Core->heartbeat(W.now()).DocumentAge,
              Duration(3000))
        << "after " << I << " steps of 100 ms";
  }
}

// Guards against work accepted without a valid key or for a foreign queue.
TEST(EngineTest, UnknownKeyIsRefused) {
  World W;
  ASSERT_TRUE(W.settle());
  RequestToken Bad = W.call(0, "x", true, Duration(500), "blue-1.wrong");
  RequestToken None = W.call(0, "x", true, Duration(500), "");
  W.runFor(Duration(1000));
  EXPECT_EQ(W.CallAnswers[Bad].Reason, Refusal::UnknownKey);
  EXPECT_EQ(W.CallAnswers[Bad].Outcome, Verdict::NotRun);
  EXPECT_EQ(W.CallAnswers[None].Reason, Refusal::UnknownKey);
  EXPECT_TRUE(W.runs().empty());
}

// Guards against a withdrawn key that works for longer than 3 s.
TEST(EngineTest, WithdrawnKeyStopsWorking) {
  World W;
  ASSERT_TRUE(W.settle());
  config::Document Next = W.document();
  Next.Teams[0].Keys.clear();
  W.applyDocument(Next);
  W.runFor(Duration(3000));
  for (size_t I = 0; I < W.Processes.size(); ++I) {
    RequestToken Asked = W.call(I, "x", true);
    W.runFor(Duration(100));
    EXPECT_EQ(W.CallAnswers[Asked].Reason, Refusal::UnknownKey);
  }
}

// Guards against tasks that start in a data centre that was taken out.
TEST(EngineTest, DataCentreOutStartsNothing) {
  World W;
  ASSERT_TRUE(W.settle());
  config::Document Next = W.document();
  Next.DataCentres[0].State = config::DataCentreState::Out;
  // A second data centre, since the last one cannot be taken out.
  config::DataCentre Other = Next.DataCentres[0];
  Other.Name = DataCentreId("other");
  Other.State = config::DataCentreState::In;
  Next.DataCentres.push_back(Other);
  W.applyDocument(Next);
  W.runFor(Duration(3000));
  size_t Before = W.runs().size();
  RequestToken Asked = W.call(0, "x", true);
  W.runFor(Duration(1000));
  EXPECT_EQ(W.CallAnswers[Asked].Reason, Refusal::DataCentreOut);
  EXPECT_EQ(W.runs().size(), Before);
}

// Guards against work that starts on a configuration that may be withdrawn.
TEST(EngineTest, StaleDocumentStartsNothing) {
  World W;
  ASSERT_TRUE(W.settle());
  W.StoreDown = true;
  W.runFor(Duration(4000));
  RequestToken Asked = W.call(0, "x", true);
  W.runFor(Duration(500));
  EXPECT_EQ(W.CallAnswers[Asked].Reason, Refusal::StaleDocument);
  W.StoreDown = false;
  W.runFor(Duration(3000));
  RequestToken Again = W.call(0, "x", true);
  W.runFor(Duration(500));
  EXPECT_EQ(W.CallAnswers[Again].Outcome, Verdict::Ran);
}

// Guards against tasks of a batch that are lost or run twice.
TEST(EngineTest, BatchRunsEveryTaskOnce) {
  World W;
  ASSERT_TRUE(W.settle());
  RequestToken Sent = W.submit(0, makeSpec(JobKind::Batch, 30, 500), "job-1");
  W.runFor(Duration(200));
  ASSERT_EQ(W.JobAnswers[Sent].Reason, Refusal::None)
      << W.JobAnswers[Sent].Message;
  JobId Job = W.JobAnswers[Sent].Job;
  EXPECT_TRUE(jobEnds(W, 0, Job, Duration(20000)));
  EXPECT_EQ(statusOf(W, 0, Job).State, JobState::Finished);
  auto Runs = W.runs();
  EXPECT_EQ(Runs.size(), 30U);
  for (const auto &Row : Runs)
    EXPECT_EQ(Row.second.size(), 1U) << Row.first;
}

// Guards against a repeated submission that becomes a second job.
TEST(EngineTest, RepeatedSubmissionNamesTheSameJob) {
  World W;
  ASSERT_TRUE(W.settle());
  RequestToken First = W.submit(0, makeSpec(JobKind::Batch, 3, 100), "same");
  W.runFor(Duration(500));
  RequestToken Second = W.submit(1, makeSpec(JobKind::Batch, 3, 100), "same");
  W.runFor(Duration(5000));
  EXPECT_EQ(W.JobAnswers[First].Job, W.JobAnswers[Second].Job);
  EXPECT_EQ(W.runs().size(), 3U);
}

// Guards against a gang that runs with a part of its tasks.
TEST(EngineTest, GangStartsTogether) {
  World W;
  ASSERT_TRUE(W.settle());
  W.submit(0, makeSpec(JobKind::Gang, 12, 2000), "gang");
  W.runFor(Duration(6000));
  auto Runs = W.runs();
  ASSERT_EQ(Runs.size(), 12U);
  TimePoint First = TimePoint::max();
  TimePoint Last = TimePoint::min();
  for (const auto &Row : Runs) {
    ASSERT_EQ(Row.second.size(), 1U);
    First = std::min(First, Row.second[0].Start);
    Last = std::max(Last, Row.second[0].Start);
  }
  EXPECT_LE(Last - First, Duration(100));
}

// Guards against an accepted job that dies with the process that accepted it.
TEST(EngineTest, JobSurvivesTheDeathOfItsOwner) {
  World W;
  ASSERT_TRUE(W.settle());
  RequestToken Sent = W.submit(0, makeSpec(JobKind::Batch, 40, 3000), "job-1");
  W.runFor(Duration(1500));
  ASSERT_EQ(W.JobAnswers[Sent].Reason, Refusal::None);
  JobId Job = W.JobAnswers[Sent].Job;
  size_t Owner = ownerOf(W, homeOf(Job)->Number);
  ASSERT_LT(Owner, W.Processes.size());
  W.killProcess(Owner);
  EXPECT_TRUE(jobEnds(W, 1 - Owner, Job, Duration(60000)));
  EXPECT_EQ(W.overlaps(), std::vector<std::string>());
  auto Runs = W.runs();
  EXPECT_EQ(Runs.size(), 40U);
  for (const auto &Row : Runs)
    EXPECT_EQ(Row.second.size(), 1U) << Row.first;
}

// Guards against a paused owner that acts after it was replaced.
TEST(EngineTest, PausedOwnerDoesNotStartTasksAfterWaking) {
  World W;
  ASSERT_TRUE(W.settle());
  RequestToken Sent = W.submit(0, makeSpec(JobKind::Batch, 60, 3000), "job-1");
  W.runFor(Duration(1500));
  JobId Job = W.JobAnswers[Sent].Job;
  size_t Owner = ownerOf(W, homeOf(Job)->Number);
  ASSERT_LT(Owner, W.Processes.size());
  W.pauseProcess(Owner);
  W.runFor(Duration(20000));
  W.resumeProcess(Owner);
  EXPECT_TRUE(jobEnds(W, 1 - Owner, Job, Duration(60000)));
  EXPECT_EQ(W.overlaps(), std::vector<std::string>());
  for (const auto &Row : W.runs())
    EXPECT_EQ(Row.second.size(), 1U) << Row.first;
}

// Guards against a start that is repeated although only its answer was lost.
TEST(EngineTest, LostRunAnswerIsResolved) {
  World W;
  ASSERT_TRUE(W.settle());
  W.LoseRunAnswers = 5;
  RequestToken Sent = W.submit(0, makeSpec(JobKind::Batch, 10, 6000), "job-1");
  W.runFor(Duration(1000));
  EXPECT_TRUE(jobEnds(W, 0, W.JobAnswers[Sent].Job, Duration(60000)));
  EXPECT_EQ(W.overlaps(), std::vector<std::string>());
}

// Guards against a non-idempotent call that runs again after a lost answer.
TEST(EngineTest, NonIdempotentCallRunsAtMostOnce) {
  World W;
  ASSERT_TRUE(W.settle());
  W.LoseRunAnswers = 10;
  std::vector<RequestToken> Asked;
  Asked.reserve(10);
  for (int I = 0; I < 10; ++I)
    Asked.push_back(W.call(0, R"({"run_ms":10})", false, Duration(500)));
  W.runFor(Duration(5000));
  for (RequestToken Id : Asked)
    EXPECT_EQ(W.CallAnswers[Id].Outcome, Verdict::MayHaveRun);
  for (const auto &Row : W.runs())
    EXPECT_LE(Row.second.size(), 1U);
}

// Guards against a job that is refused although its record was written.
TEST(EngineTest, LostStoreAnswersAreReadBack) {
  World W;
  ASSERT_TRUE(W.settle());
  W.LoseStoreAnswers = 2;
  RequestToken Sent = W.submit(0, makeSpec(JobKind::Batch, 4, 100), "job-1");
  W.runFor(Duration(1000));
  ASSERT_EQ(W.JobAnswers[Sent].Reason, Refusal::None);
  EXPECT_TRUE(jobEnds(W, 0, W.JobAnswers[Sent].Job, Duration(20000)));
  EXPECT_EQ(W.runs().size(), 4U);
}

// Guards against a shutdown that cuts off requests or loses shards for long.
TEST(EngineTest, DrainAnswersOpenCallsAndHandsOver) {
  World W;
  ASSERT_TRUE(W.settle());
  std::vector<RequestToken> Asked;
  Asked.reserve(8);
  for (int I = 0; I < 8; ++I)
    Asked.push_back(W.call(0, R"({"run_ms":800})", false));
  W.runFor(Duration(50));
  W.drainProcess(0);
  RequestToken Late = W.call(0, "x", true);
  EXPECT_TRUE(
      W.runUntil([&] { return W.Processes[0].Core->isDrained(W.now()); },
                 Duration(20000)));
  for (RequestToken Id : Asked)
    EXPECT_EQ(W.CallAnswers[Id].Outcome, Verdict::Ran);
  EXPECT_EQ(W.CallAnswers[Late].Reason, Refusal::ShuttingDown);
  W.killProcess(0);
  EXPECT_TRUE(W.settle());
}

// Guards against a cancelled job that goes on.
TEST(EngineTest, CancelledJobStops) {
  World W;
  ASSERT_TRUE(W.settle());
  RequestToken Sent = W.submit(0, makeSpec(JobKind::Service, 3, 0), "svc");
  W.runFor(Duration(1500));
  JobId Job = W.JobAnswers[Sent].Job;
  ASSERT_EQ(W.runs().size(), 3U);
  size_t Owner = ownerOf(W, homeOf(Job)->Number);
  RequestToken Asked = W.cancel(Owner, Job);
  W.runFor(Duration(3000));
  EXPECT_EQ(W.StatusAnswers[Asked].Status.State, JobState::Cancelled);
  for (const auto &Row : W.Endpoints)
    EXPECT_EQ(Row.second->inUse(), Resources());
}

// Guards against "not run" for an idempotent call whose first attempt was
// stopped and that finds no room again (I7).
TEST(EngineTest, StoppedCallIsNotReportedAsNotRun) {
  World W;
  ASSERT_TRUE(W.settle());
  // Otherwise the endpoint may report the end before the stop is answered.
  W.LoseRunAnswers = 1;
  RequestToken Asked = W.call(0, R"({"run_ms":2500})", true, Duration(3000));
  W.runFor(Duration(100));
  ASSERT_EQ(W.runs().size(), 1U);
  config::Document Next = W.document();
  config::DataCentre Other = Next.DataCentres[0];
  Other.Name = DataCentreId("other");
  Next.DataCentres.push_back(Other);
  Next.DataCentres[0].State = config::DataCentreState::Out;
  W.applyDocument(Next);
  W.runFor(Duration(6000));
  EXPECT_EQ(W.CallAnswers[Asked].Outcome, Verdict::MayHaveRun)
      << W.CallAnswers[Asked].Message;
}

// Guards against a task's id that is read after its ledger entry is destroyed.
TEST(EngineTest, VanishedTaskKeepsItsId) {
  World W;
  ASSERT_TRUE(W.settle());
  RequestToken Sent = W.submit(0, makeSpec(JobKind::Batch, 6, 5000), "job-1");
  W.runFor(Duration(1500));
  for (const auto &Row : W.Endpoints)
    W.crashEndpoint(Row.first);
  EXPECT_TRUE(jobEnds(W, 0, W.JobAnswers[Sent].Job, Duration(60000)));
  size_t Named = 0;
  for (const std::string &Line : W.Timeline)
    if (Line.find(" task_finished ") != std::string::npos)
      Named += Line.find("task=" + W.JobAnswers[Sent].Job.str()) !=
               std::string::npos;
  EXPECT_EQ(Named, 12U);
}

// Guards against an operator who is told a revision that does not exist, since
// the head was read again before the answer to its write arrived (I11). The
// process then waits for that revision and starts nothing.
TEST(EngineTest, ProposalIsAnsweredWithItsRevision) {
  World W;
  ASSERT_TRUE(W.settle());
  W.LatePercent = 50;
  for (int I = 0; I < 30; ++I) {
    config::Document Next = W.document();
    Next.Teams[0].Share = 2 + I;
    W.propose(0, W.Documents.size() - 1, Next);
    W.runFor(Duration(6000));
    const auto &Answer = W.Proposals.rbegin()->second.Answer;
    ASSERT_TRUE(Answer.has_value());
    ASSERT_EQ(Answer->Outcome, ProposalOutcome::Accepted);
    EXPECT_EQ(Answer->Revision, W.Documents.back().Revision);
  }
}

// Guards against a forwarded call that is never answered because the peer died
// after it had taken it (fuzz seed 20261204).
TEST(EngineTest, ForwardedCallIsAnsweredThoughThePeerDied) {
  World W;
  ASSERT_TRUE(W.settle());
  size_t Owner = ownerOf(W, 0);
  if (ownerOf(W, 1) != Owner) {
    // Both shards move to one process, so that the other must forward.
    W.killProcess(1 - Owner);
    ASSERT_TRUE(W.settle());
    W.startProcess(1 - Owner);
    W.runFor(Duration(1500));
  }
  RequestToken Asked = W.call(1 - Owner, R"({"run_ms":1500})", true);
  W.runFor(Duration(100));
  W.killProcess(Owner);
  W.runFor(Duration(1920));
  ASSERT_EQ(W.CallAnswers.count(Asked), 1U);
  EXPECT_EQ(W.CallAnswers[Asked].Outcome, Verdict::MayHaveRun);
}

// Guards against "not run" for a task that ran, was lost with its endpoint and
// is cancelled at the next owner while it waits for its second attempt (I7).
TEST(EngineTest, CancelledTaskThatRanBeforeIsNotReportedAsNotRun) {
  World W;
  ASSERT_TRUE(W.settle());
  RequestToken Sent = W.submit(0, makeSpec(JobKind::Batch, 1, 20000), "job-1");
  W.runFor(Duration(1500));
  JobId Job = W.JobAnswers[Sent].Job;
  ASSERT_EQ(W.runs().size(), 1U);
  // Without authority while its endpoints restart, so it is looked up before.
  size_t First = ownerOf(W, homeOf(Job)->Number);
  ASSERT_LT(First, W.Processes.size());
  config::Document Next = W.document();
  Next.DataCentres.push_back(Next.DataCentres[0]);
  Next.DataCentres[1].Name = DataCentreId("other");
  Next.DataCentres[0].State = config::DataCentreState::Draining;
  W.applyDocument(Next);
  W.runFor(Duration(3000));
  for (const auto &Row : W.Endpoints)
    W.crashEndpoint(Row.first);
  W.runFor(Duration(3000));
  W.killProcess(First);
  W.runFor(Duration(30000));
  size_t Owner = ownerOf(W, homeOf(Job)->Number);
  ASSERT_LT(Owner, W.Processes.size());
  RequestToken Asked = W.cancel(Owner, Job);
  W.runFor(Duration(3000));
  ASSERT_EQ(W.StatusAnswers[Asked].Status.Tasks.size(), 1U);
  EXPECT_EQ(statusOf(W, Owner, Job).Tasks[0].Outcome, Verdict::MayHaveRun);
}

// Guards against a second run of a non-idempotent call whose endpoint
// restarted: it has forgotten the attempt and answers the stop with "never
// started" (I8).
TEST(EngineTest, NonIdempotentCallOnARestartedEndpointRunsOnce) {
  World W;
  ASSERT_TRUE(W.settle());
  RequestToken Asked = W.call(0, R"({"run_ms":800})", false, Duration(3000));
  W.runFor(Duration(100));
  auto Before = W.runs();
  ASSERT_EQ(Before.size(), 1U);
  for (const auto &Row : W.Endpoints)
    W.crashEndpoint(Row.first);
  W.runFor(Duration(5000));
  for (const auto &Row : W.runs())
    EXPECT_EQ(Row.second.size(), 1U) << Row.first;
  EXPECT_EQ(W.CallAnswers[Asked].Outcome, Verdict::MayHaveRun);
}

// Guards against a malformed record in the store that ends the whole process
// when its status is asked for.
TEST(EngineTest, MalformedRecordIsNotFatalForStatusAndCancel) {
  World W;
  ASSERT_TRUE(W.settle());
  JobId Broken("dc.0.0123456789abcdef0123456789abcdef");
  protocol::StoreRequest Write;
  Write.Operation = protocol::StoreOperation::Write;
  Write.Key = jobKey(Broken);
  Write.Value = "{";
  ASSERT_EQ(W.Store.apply(Write, W.now()).Status, protocol::StoreStatus::Ok);
  RequestToken Asked = W.query(0, Broken);
  RequestToken Cancelled = W.cancel(0, Broken);
  ASSERT_NO_THROW(W.runFor(Duration(1000)));
  EXPECT_EQ(W.StatusAnswers.at(Asked).Reason, Refusal::StoreUnavailable);
  EXPECT_EQ(W.StatusAnswers.at(Cancelled).Reason, Refusal::StoreUnavailable);
}

} // namespace
} // namespace teaselwalk::engine
