#include "config_gateway.hpp"

#include "teaselwalk/runtime/clock.hpp"

#include <array>
#include <utility>

namespace teaselwalk::entry {
namespace {

using operators::ProposalState;

constexpr std::array<std::pair<engine::ProposalOutcome, ProposalState>, 4>
    States = {{
        {engine::ProposalOutcome::Accepted, ProposalState::Accepted},
        {engine::ProposalOutcome::Conflict, ProposalState::Conflict},
        {engine::ProposalOutcome::Unknown, ProposalState::Unknown},
        {engine::ProposalOutcome::StoreUnavailable, ProposalState::Unavailable},
    }};

ProposalState stateOf(engine::ProposalOutcome Outcome) {
  for (const auto &Row : States)
    if (Row.first == Outcome)
      return Row.second;
  return ProposalState::Unknown;
}

} // namespace

std::shared_ptr<const operators::CurrentConfig> ConfigGateway::current() {
  return Loop.config();
}

void ConfigGateway::propose(uint64_t BaseRevision, const config::NextHead &Head,
                            Callback Done) {
  engine::ProposalReceived Event;
  Event.BaseRevision = BaseRevision;
  Event.Next = Head;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Event.From = Next++;
    Waiting.emplace(Event.From, Done);
  }
  engine::RequestToken Id = Event.From;
  if (Loop.offer(std::move(Event)))
    return;
  std::lock_guard<std::mutex> Lock(Mutex);
  Waiting.erase(Id);
  Done({ProposalState::Unavailable, {}});
}

void ConfigGateway::answer(const engine::AnswerProposal &Answer) {
  Callback Done;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    auto Found = Waiting.find(Answer.To);
    if (Found == Waiting.end())
      return;
    Done = std::move(Found->second);
    Waiting.erase(Found);
  }
  operators::ProposalResult Result;
  Result.State = stateOf(Answer.Outcome);
  if (auto Newest = Loop.config())
    Result.Newer = Newest->Head;
  Done(Result);
}

std::vector<operators::InForce> ConfigGateway::inForce() {
  return {Loop.inForce(runtime::steadyNow())};
}

config::RunningUsage ConfigGateway::running() { return Loop.running(); }

} // namespace teaselwalk::entry
