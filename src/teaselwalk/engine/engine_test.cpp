#include "teaselwalk/engine/record.hpp"
#include "teaselwalk/world/world.hpp"

#include <gtest/gtest.h>

namespace teaselwalk::engine {
namespace {

using protocol::JobKind;
using protocol::JobState;
using protocol::Refusal;
using world::World;
using world::WorldOptions;

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

// Guards against answers that are lost or go to another caller.
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

// Guards against leases that expire because renewals carry a hash instead of
// the tasks, while other tasks start and end on the same endpoints.
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

// Guards against a task that counts as running forever although its endpoint
// lost it in a restart. Renewals with a hash would not show that it is gone.
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
  // The tasks of a service start again, even though a restarted endpoint does
  // not count for authority at first.
  EXPECT_TRUE(
      W.runUntil([&] { return CountRunning() == 12; }, Duration(60000)));
  EXPECT_EQ(W.overlaps(), std::vector<std::string>());
}

// Guards against a process without access to the store that asks its peers too
// rarely for confirmation, so that its document gets too old to start tasks.
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

// Guards against work that is accepted without a valid team key.
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

// Guards against a withdrawn team key that is accepted for longer than 3 s.
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

// Guards against tasks that start in a data centre that is out of service.
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

// Guards against tasks that start under a configuration that may no longer be
// in force, because the store could not be read for too long.
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

// Guards against batch tasks that are lost or run twice.
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

// Guards against a second job for a repeated submission with the same request
// id.
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

// Guards against a gang of which only some tasks run.
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

// Guards against an accepted job that is lost with the process that owned it.
TEST(EngineTest, JobSurvivesTheDeathOfItsOwner) {
  World W;
  ASSERT_TRUE(W.settle());
  RequestToken Sent = W.submit(0, makeSpec(JobKind::Batch, 40, 3000), "job-1");
  W.runFor(Duration(1500));
  ASSERT_EQ(W.JobAnswers[Sent].Reason, Refusal::None);
  JobId Job = W.JobAnswers[Sent].Job;
  size_t Owner = ownerOf(W, homeShardOf(Job)->Number);
  ASSERT_LT(Owner, W.Processes.size());
  W.killProcess(Owner);
  EXPECT_TRUE(jobEnds(W, 1 - Owner, Job, Duration(60000)));
  EXPECT_EQ(W.overlaps(), std::vector<std::string>());
  auto Runs = W.runs();
  EXPECT_EQ(Runs.size(), 40U);
  for (const auto &Row : Runs)
    EXPECT_EQ(Row.second.size(), 1U) << Row.first;
}

// Guards against tasks that run twice because they ended while their shard had
// no owner, and the endpoints reported that to the new owner before it had read
// the jobs from the store.
TEST(EngineTest, EndsReportedBeforeTheJobsAreReadCount) {
  for (int64_t KillAfter = 600; KillAfter <= 2200; KillAfter += 200) {
    WorldOptions Options;
    Options.Seed = static_cast<uint64_t>(KillAfter);
    World W(Options);
    ASSERT_TRUE(W.settle());
    RequestToken Sent =
        W.submit(0, makeSpec(JobKind::Batch, 40, 1200), "job-1");
    W.runFor(Duration(KillAfter));
    ASSERT_EQ(W.JobAnswers[Sent].Reason, Refusal::None);
    JobId Job = W.JobAnswers[Sent].Job;
    size_t Owner = ownerOf(W, homeShardOf(Job)->Number);
    ASSERT_LT(Owner, W.Processes.size());
    W.killProcess(Owner);
    EXPECT_TRUE(jobEnds(W, 1 - Owner, Job, Duration(60000)));
    for (const auto &Row : W.runs())
      EXPECT_EQ(Row.second.size(), 1U)
          << Row.first << ", killed after " << KillAfter << " ms";
  }
}

// Guards against an owner that starts tasks after a pause in which another
// process took over its shard.
TEST(EngineTest, PausedOwnerDoesNotStartTasksAfterWaking) {
  World W;
  ASSERT_TRUE(W.settle());
  RequestToken Sent = W.submit(0, makeSpec(JobKind::Batch, 60, 3000), "job-1");
  W.runFor(Duration(1500));
  JobId Job = W.JobAnswers[Sent].Job;
  size_t Owner = ownerOf(W, homeShardOf(Job)->Number);
  ASSERT_LT(Owner, W.Processes.size());
  W.pauseProcess(Owner);
  W.runFor(Duration(20000));
  W.resumeProcess(Owner);
  EXPECT_TRUE(jobEnds(W, 1 - Owner, Job, Duration(60000)));
  EXPECT_EQ(W.overlaps(), std::vector<std::string>());
  for (const auto &Row : W.runs())
    EXPECT_EQ(Row.second.size(), 1U) << Row.first;
}

// Guards against a second start of a task for which only the answer to the run
// command was lost.
TEST(EngineTest, LostRunAnswerIsResolved) {
  World W;
  ASSERT_TRUE(W.settle());
  W.LoseRunAnswers = 5;
  RequestToken Sent = W.submit(0, makeSpec(JobKind::Batch, 10, 6000), "job-1");
  W.runFor(Duration(1000));
  EXPECT_TRUE(jobEnds(W, 0, W.JobAnswers[Sent].Job, Duration(60000)));
  EXPECT_EQ(W.overlaps(), std::vector<std::string>());
}

// Guards against a non-idempotent call that runs again after the answer to its
// run command was lost.
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

// Guards against a submission that is refused although the job's record was
// written, because the store's answer was lost.
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

// Guards against a shutdown that drops open calls, or after which the shards
// stay without an owner.
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

// Guards against a cancelled job whose tasks keep running.
TEST(EngineTest, CancelledJobStops) {
  World W;
  ASSERT_TRUE(W.settle());
  RequestToken Sent = W.submit(0, makeSpec(JobKind::Service, 3, 0), "svc");
  W.runFor(Duration(1500));
  JobId Job = W.JobAnswers[Sent].Job;
  ASSERT_EQ(W.runs().size(), 3U);
  size_t Owner = ownerOf(W, homeShardOf(Job)->Number);
  RequestToken Asked = W.cancel(Owner, Job);
  W.runFor(Duration(3000));
  EXPECT_EQ(W.StatusAnswers[Asked].Status.State, JobState::Cancelled);
  for (const auto &Row : W.Endpoints)
    EXPECT_EQ(Row.second->inUse(), Resources());
}

// Guards against the verdict "not run" for an idempotent call whose first
// attempt was stopped and that found no room for a second one (invariant I7).
TEST(EngineTest, StoppedCallIsNotReportedAsNotRun) {
  World W;
  ASSERT_TRUE(W.settle());
  // Makes the engine learn of the end from the answer to its stop command.
  // Otherwise the endpoint may report the end first.
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

// Guards against a task id that is read through a reference into its entry
// after the entry was destroyed, so that the log line names no task.
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

// Guards against an answer to a proposal with a revision that does not exist
// (invariant I11). It comes about when the head is read again before the answer
// to its write arrives. The process would then wait for that revision and start
// nothing.
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
// after it had received the call (found with fuzz seed 20261204).
TEST(EngineTest, ForwardedCallIsAnsweredThoughThePeerDied) {
  World W;
  ASSERT_TRUE(W.settle());
  size_t Owner = ownerOf(W, 0);
  if (ownerOf(W, 1) != Owner) {
    // Moves both shards to one process, so that the other one has to forward.
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

// Guards against the verdict "not run" for a task that ran, was lost when its
// endpoint crashed, and is cancelled at the next owner while it waits for its
// second attempt (invariant I7).
TEST(EngineTest, CancelledTaskThatRanBeforeIsNotReportedAsNotRun) {
  World W;
  ASSERT_TRUE(W.settle());
  RequestToken Sent = W.submit(0, makeSpec(JobKind::Batch, 1, 20000), "job-1");
  W.runFor(Duration(1500));
  JobId Job = W.JobAnswers[Sent].Job;
  ASSERT_EQ(W.runs().size(), 1U);
  // The owner is looked up now, since it has no authority while its endpoints
  // restart.
  size_t First = ownerOf(W, homeShardOf(Job)->Number);
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
  size_t Owner = ownerOf(W, homeShardOf(Job)->Number);
  ASSERT_LT(Owner, W.Processes.size());
  RequestToken Asked = W.cancel(Owner, Job);
  W.runFor(Duration(3000));
  ASSERT_EQ(W.StatusAnswers[Asked].Status.Tasks.size(), 1U);
  EXPECT_EQ(statusOf(W, Owner, Job).Tasks[0].Outcome, Verdict::MayHaveRun);
}

// Guards against a second run of a non-idempotent call whose endpoint restarted
// (invariant I8). The endpoint has lost its record of the attempt and answers
// the stop command with "never started".
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

// Guards against a process that ends on a malformed job record when the job's
// status or cancellation is requested.
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
