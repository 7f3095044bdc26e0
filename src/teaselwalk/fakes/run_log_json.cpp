#include "run_log_json.hpp"

#include <nlohmann/json.hpp>

namespace teaselwalk::fakes {
namespace {

using nlohmann::json;

int64_t millisOf(TimePoint At) { return At.time_since_epoch().count(); }

json recordJson(const RunRecord &Record) {
  return {{"task", Record.Id.Task.str()},
          {"attempt", Record.Id.Number},
          {"team", Record.Team.str()},
          {"resources", Record.Size},
          {"epoch", Record.Owner},
          {"start_ms", millisOf(Record.Start)},
          {"end_ms", Record.End ? json(millisOf(*Record.End)) : json(nullptr)},
          {"ended", nameOf(RunEndNames, Record.Ended)},
          {"while_leaving", Record.WhileLeaving},
          {"mark", Record.Mark}};
}

} // namespace

json runLogJson(const EndpointModel &Model, TimePoint Now) {
  json Attempts = json::array();
  for (const RunRecord &Record : Model.log())
    Attempts.push_back(recordJson(Record));
  return {{"endpoint", Model.options().Name},
          {"now_ms", millisOf(Now)},
          {"attempts", std::move(Attempts)}};
}

json peakJson(const EndpointModel &Model) {
  const PeakUse &Peak = Model.peak();
  return {{"endpoint", Model.options().Name},
          {"capacity", Model.options().Capacity},
          {"largest", Peak.Largest},
          {"in_use", Model.inUse()},
          {"refused", Peak.Refused},
          {"stale", Peak.StaleCommands},
          {"duplicates", Peak.Duplicates}};
}

} // namespace teaselwalk::fakes
