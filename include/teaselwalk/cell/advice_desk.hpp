#pragma once

#include "teaselwalk/cell/ports.hpp"

#include <functional>
#include <list>
#include <memory>
#include <vector>

namespace teaselwalk::cell {

/// One question to the advisory service.
struct Question {
  StepKey Step;
  std::vector<EndpointId> Candidates;
  Duration Expected{0};  ///< Time that the service needs for it.
  bool IsExcess = false; ///< Goes after all others.
  TimePoint Deadline;    ///< Questions with the earliest one go first.
};

/// Spreads questions over the processes of the system. The service works on
/// one question at a time for each process that asks, so each process is a
/// lane with at most one question. Short questions have lanes of their own,
/// so that they never wait behind long ones.
class AdviceDesk {
public:
  using Callback = std::function<void(Advice)>;

  AdviceDesk(Executor &Clock, Advisor &Service, Recorder &Log)
      : Clock(Clock), Service(Service), Log(Log) {}

  /// The processes to ask through; an empty address is this process. Lanes
  /// that stay keep their state.
  void setLanes(const std::vector<protocol::Address> &Addresses);

  void ask(Question Asked, Callback Done);

  size_t waiting() const { return Waiting.size(); }

private:
  struct Lane {
    protocol::Address Through;
    bool IsBusy = false;
    TimePoint AvoidUntil;
    Duration Pause{0}; ///< After the next question that is lost.
  };
  struct Entry {
    Question Asked;
    Callback Done;
    TimePoint Since;
    int32_t Losses = 0;
  };

  void dispatch();
  void noteOutcome(Lane &Used, AdviceOutcome Outcome) const;
  std::shared_ptr<Lane> freeLane(bool IsLong);
  void send(const std::shared_ptr<Lane> &Free, Entry Next);

  Executor &Clock;
  Advisor &Service;
  Recorder &Log;
  std::vector<std::shared_ptr<Lane>> Lanes;
  std::list<Entry> Waiting;
  bool RetryScheduled = false;
  std::shared_ptr<char> Alive = std::make_shared<char>();
};

} // namespace teaselwalk::cell
