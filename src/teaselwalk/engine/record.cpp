#include "teaselwalk/engine/record.hpp"

#include "teaselwalk/base/error.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace teaselwalk::engine {
namespace {

std::string shardPath(const protocol::ShardId &Home) {
  return Home.DataCentre.str() + '/' + std::to_string(Home.Number) + '/';
}

template <typename Function>
auto decode(const char *What, Function Read) -> decltype(Read()) {
  try {
    return Read();
  } catch (const nlohmann::json::exception &Failure) {
    throw Error(std::string("malformed ") + What + ": " + Failure.what());
  }
}

} // namespace

std::string jobPrefix(const protocol::ShardId &Home) {
  return "jobs/" + shardPath(Home);
}

std::string jobKey(const JobId &Id) {
  auto Home = homeShardOf(Id);
  return Home ? jobPrefix(*Home) + Id.str() : "jobs/" + Id.str();
}

std::string completionPrefix(const protocol::ShardId &Home) {
  return "done/" + shardPath(Home);
}

std::string requestClaimKey(const TeamId &Team, const RequestId &Request) {
  return "requests/" + requestHash(Team, Request);
}

std::string encodeJob(const Job &Value) {
  nlohmann::json Json = {
      {"job", Value.Id.str()},
      {"team", Value.Team.str()},
      {"spec", Value.Spec},
      {"state", nameOf(protocol::JobStateNames, Value.State)},
      {"reason", Value.Reason}};
  return Json.dump();
}

Job decodeJob(const std::string &Text, protocol::StoreVersion Version) {
  return decode("job record", [&] {
    nlohmann::json Json = nlohmann::json::parse(Text);
    Job Value = makeJob(JobId(Json.at("job").get<std::string>()),
                        TeamId(Json.at("team").get<std::string>()),
                        Json.at("spec").get<protocol::JobSpec>());
    auto State =
        valueOf(protocol::JobStateNames, Json.at("state").get<std::string>());
    if (!State)
      throw Error("malformed job record: unknown state");
    Value.State = *State;
    Json.at("reason").get_to(Value.Reason);
    Value.Version = Version;
    return Value;
  });
}

void applyCompletion(JobTask &Row, const CompletedTask &Ended) {
  Row.State =
      Ended.Ok ? protocol::TaskState::Finished : protocol::TaskState::Failed;
  Row.Outcome = Ended.Outcome;
  Row.Endpoint = Ended.Endpoint;
  Row.Result = Ended.Result;
}

std::string encodeCompletions(const std::vector<CompletedTask> &Batch) {
  nlohmann::json Rows = nlohmann::json::array();
  for (const CompletedTask &Task : Batch)
    Rows.push_back({{"job", Task.Job.str()},
                    {"index", Task.Index},
                    {"ok", Task.Ok},
                    {"verdict", toString(Task.Outcome)},
                    {"endpoint", Task.Endpoint.str()},
                    {"result", Task.Result}});
  return Rows.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::vector<CompletedTask> decodeCompletions(const std::string &Text) {
  return decode("batch of ended tasks", [&] {
    nlohmann::json Rows = nlohmann::json::parse(Text);
    std::vector<CompletedTask> Batch;
    for (const nlohmann::json &Row : Rows) {
      CompletedTask Task;
      Task.Job = JobId(Row.at("job").get<std::string>());
      Row.at("index").get_to(Task.Index);
      Row.at("ok").get_to(Task.Ok);
      Task.Outcome = valueOf(VerdictNames, Row.at("verdict").get<std::string>())
                         .value_or(Verdict::MayHaveRun);
      Task.Endpoint = EndpointId(Row.at("endpoint").get<std::string>());
      Row.at("result").get_to(Task.Result);
      Batch.push_back(std::move(Task));
    }
    return Batch;
  });
}

} // namespace teaselwalk::engine
