#include "task_script.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace teaselwalk::fakes {
namespace {

/// Longest simulated run, a week; keeps time points far from overflow.
constexpr uint64_t MaxRunMs = 604800000;

} // namespace

TaskScript scriptOf(const protocol::RunCommand &Command) {
  TaskScript Script;
  if (Command.RunTime > Duration(0) || Command.Wait)
    Script.RunTime = Command.RunTime;
  auto Json = nlohmann::json::parse(Command.Payload, nullptr, false);
  if (!Json.is_object()) {
    Script.Result = Command.Payload;
    return Script;
  }
  auto RunMs = Json.find("run_ms");
  if (RunMs != Json.end() && RunMs->is_number_unsigned())
    Script.RunTime = Duration(std::min(RunMs->get<uint64_t>(), MaxRunMs));
  auto Result = Json.find("result");
  if (Result != Json.end() && Result->is_string())
    Script.Result = Result->get<std::string>();
  auto Fail = Json.find("fail");
  Script.Fail = Fail != Json.end() && Fail->is_boolean() && Fail->get<bool>();
  return Script;
}

} // namespace teaselwalk::fakes
