#include "teaselwalk/fakes/account.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace teaselwalk::fakes {
namespace {

/// Attempts of one task, in the order of their starts.
using RunsOfTask = std::vector<const LoggedRun *>;
/// By task id.
using RunsOfRequest = std::map<std::string, RunsOfTask>;

std::map<std::string, RunsOfRequest>
groupByMark(const std::vector<LoggedRun> &Runs) {
  std::map<std::string, RunsOfRequest> Groups;
  for (const LoggedRun &Run : Runs)
    Groups[Run.Mark][Run.Id.Task.str()].push_back(&Run);
  for (auto &[Mark, Tasks] : Groups)
    for (auto &[Task, Attempts] : Tasks)
      std::sort(
          Attempts.begin(), Attempts.end(),
          [](const auto *A, const auto *B) { return A->Start < B->Start; });
  return Groups;
}

bool overlaps(const RunsOfTask &Attempts) {
  for (size_t I = 1; I < Attempts.size(); ++I)
    if (!Attempts[I - 1]->End || *Attempts[I - 1]->End > Attempts[I]->Start)
      return true;
  return false;
}

size_t countEnded(const RunsOfTask &Attempts, RunEnd Why) {
  return static_cast<size_t>(
      std::count_if(Attempts.begin(), Attempts.end(),
                    [&](const auto *Run) { return Run->Ended == Why; }));
}

bool ranTwice(const Submission &Request, const RunsOfTask &Attempts) {
  if (overlaps(Attempts))
    return true;
  if (!Request.Idempotent)
    return Attempts.size() > 1;
  return Request.Answers.size() < 2 &&
         countEnded(Attempts, RunEnd::Finished) > 1;
}

/// The number of tasks with an attempt that ended as \p Why.
size_t tasksEnded(const RunsOfRequest &Tasks, RunEnd Why) {
  size_t Count = 0;
  for (const auto &[Task, Attempts] : Tasks)
    Count += countEnded(Attempts, Why) > 0 ? 1 : 0;
  return Count;
}

size_t countRuns(const RunsOfRequest &Tasks) {
  size_t Count = 0;
  for (const auto &[Task, Attempts] : Tasks)
    Count += Attempts.size();
  return Count;
}

bool isDone(const Submission &Request, const RunsOfRequest &Tasks) {
  if (Request.Kind == RequestKind::Service)
    return tasksEnded(Tasks, RunEnd::Running) == Request.Tasks;
  return tasksEnded(Tasks, RunEnd::Finished) == Request.Tasks;
}

class Counter {
public:
  explicit Counter(Account &Into) : Into(Into) {}

  void add(const Submission &Request, const RunsOfRequest &Tasks) {
    ++Into.Submitted;
    countAttempts(Request, Tasks);
    bool Accepted = false;
    bool AllNotRun = !Request.Answers.empty();
    for (const GivenAnswer &Answer : Request.Answers) {
      if (Answer.Verdict == toString(Verdict::Ran))
        return addRan(Request, Answer, Tasks);
      Accepted = Accepted || Answer.Status == 202;
      AllNotRun = AllNotRun && Answer.Verdict == toString(Verdict::NotRun);
    }
    if (Accepted)
      return settle(Request, isDone(Request, Tasks),
                    "was accepted and is not done");
    if (AllNotRun)
      return addNotRun(Request, Tasks);
    if (Request.Idempotent)
      return settle(Request, false, "has no certain answer");
    ++Into.MayHaveRun;
  }

  void fault(const std::string &Text) { Into.Faults.push_back(Text); }

private:
  void countAttempts(const Submission &Request, const RunsOfRequest &Tasks) {
    for (const auto &[Task, Attempts] : Tasks) {
      if (ranTwice(Request, Attempts)) {
        ++Into.RunTwice;
        fault("task " + Task + " ran twice");
      } else if (Attempts.size() > 1) {
        ++Into.Repeated;
      }
    }
  }

  void settle(const Submission &Request, bool Done, const char *Fault) {
    ++(Done ? Into.Answered : Into.Lost);
    if (!Done)
      fault("request " + Request.Mark + " " + Fault);
  }

  void addRan(const Submission &Request, const GivenAnswer &Answer,
              const RunsOfRequest &Tasks) {
    // A failed call is answered with an error instead of its result.
    bool Failed = Answer.Status != 200;
    if (!Failed && Answer.Result != Request.Mark) {
      ++Into.WrongAnswers;
      fault("request " + Request.Mark + " received another result");
    }
    RunEnd Expected = Failed ? RunEnd::Failed : RunEnd::Finished;
    settle(Request, tasksEnded(Tasks, Expected) > 0,
           "was answered and no endpoint ran it");
  }

  void addNotRun(const Submission &Request, const RunsOfRequest &Tasks) {
    ++Into.NotRun;
    if (Tasks.empty())
      return;
    Into.Unexpected += countRuns(Tasks);
    fault("request " + Request.Mark + " was answered \"not run\" and ran");
  }

  Account &Into;
};

} // namespace

Account countUp(const std::vector<Submission> &Submissions,
                const std::vector<LoggedRun> &Runs) {
  auto Groups = groupByMark(Runs);
  Account Total;
  Counter Work(Total);
  for (const Submission &Request : Submissions) {
    Work.add(Request, Groups[Request.Mark]);
    Groups.erase(Request.Mark);
  }
  for (const auto &[Mark, Tasks] : Groups) {
    Total.Unexpected += countRuns(Tasks);
    Work.fault("an endpoint ran \"" + Mark + "\", which nobody submitted");
  }
  return Total;
}

bool isClean(const Account &Value) {
  return Value.Lost == 0 && Value.RunTwice == 0 && Value.Unexpected == 0 &&
         Value.WrongAnswers == 0;
}

} // namespace teaselwalk::fakes
