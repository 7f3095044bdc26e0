#pragma once

#include "teaselwalk/engine/action.hpp"
#include "teaselwalk/entry/engine_loop.hpp"
#include "teaselwalk/operators/backend.hpp"

#include <map>
#include <mutex>

namespace teaselwalk::entry {

/// Connects the operators' API with the engine's thread.
class ConfigGateway final : public operators::ConfigBackend {
public:
  explicit ConfigGateway(EngineLoop &Loop) : Loop(Loop) {}

  std::shared_ptr<const operators::CurrentConfig> current() override;
  void propose(uint64_t BaseRevision, const config::NextHead &Next,
               Callback Done) override;
  std::vector<operators::InForce> inForce() override;
  config::RunningUsage running() override;

  /// The engine's answer to a proposal. An unknown token is ignored.
  void answer(const engine::AnswerProposal &Answer);

private:
  EngineLoop &Loop;
  std::mutex Mutex;
  engine::RequestToken Next = 1;
  std::map<engine::RequestToken, Callback> Waiting;
};

} // namespace teaselwalk::entry
