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
  Duration Expected{0};  ///< Time that the service is expected to take.
  bool IsExcess = false; ///< Asked after all questions that are not excess.
  TimePoint Deadline;    ///< Earlier deadlines are asked first.
};

/// Sends questions to the advisory service through all processes of the system.
/// The service answers one question at a time for each asking process, so each
/// process is a lane with at most one open question. Some lanes are reserved
/// for short questions, so that these never wait behind long ones.
class AdviceDesk {
public:
  using Callback = std::function<void(Advice)>;

  AdviceDesk(Executor &Clock, Advisor &Service, Recorder &Log)
      : Clock(Clock), Service(Service), Log(Log) {}

  /// Sets the processes to ask through; an empty address is this process. Lanes
  /// with an address that was there before keep their state.
  void setLanes(const std::vector<protocol::Address> &Addresses);

  /// \p Done is called once with the answer. A question that is lost is asked
  /// again a few times first.
  void ask(Question Asked, Callback Done);

  /// Number of questions that wait for a lane.
  size_t waiting() const { return Waiting.size(); }

private:
  struct Lane {
    protocol::Address Through;
    bool IsBusy = false;
    TimePoint AvoidUntil;
    Duration Pause{0}; ///< Length of the latest pause; 0: none.
  };
  struct Entry {
    Question Asked;
    Callback Done;
    TimePoint Since;    ///< When it was handed in.
    int32_t Losses = 0; ///< Calls that were not answered.
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
