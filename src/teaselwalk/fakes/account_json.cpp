#include "teaselwalk/fakes/account.hpp"

#include "teaselwalk/base/error.hpp"

#include <nlohmann/json.hpp>

namespace teaselwalk::fakes {
namespace {

using nlohmann::json;

json arrayOf(const char *Name, const std::string &Text) {
  json Json = json::parse(Text, nullptr, false);
  if (!Json.is_array())
    throw InvalidInput(Name, "must be a JSON array");
  return Json;
}

template <typename Enum, size_t N>
Enum choiceOf(const json &Row, const char *Name,
              const std::array<EnumName<Enum>, N> &Table) {
  auto Value = valueOf(Table, Row.at(Name).get<std::string>());
  if (!Value)
    throw InvalidInput(Name, "is not a known name");
  return *Value;
}

Submission submissionOf(const json &Row) {
  Submission Request;
  Row.at("mark").get_to(Request.Mark);
  Request.Kind = choiceOf(Row, "kind", RequestKindNames);
  Row.at("tasks").get_to(Request.Tasks);
  Row.at("idempotent").get_to(Request.Idempotent);
  for (const json &Item : Row.at("answers"))
    Request.Answers.push_back({Item.at("status").get<int>(),
                               Item.value("verdict", std::string()),
                               Item.value("result", std::string())});
  return Request;
}

LoggedRun runOf(const std::string &Endpoint, const json &Row) {
  LoggedRun Run;
  Run.Endpoint = Endpoint;
  Run.Id = {TaskId(Row.at("task").get<std::string>()),
            Row.at("attempt").get<uint32_t>()};
  Row.at("mark").get_to(Run.Mark);
  Run.Start = timeAt(Row.at("start_ms").get<int64_t>());
  if (!Row.at("end_ms").is_null())
    Run.End = timeAt(Row.at("end_ms").get<int64_t>());
  Run.Ended = choiceOf(Row, "ended", RunEndNames);
  return Run;
}

} // namespace

std::vector<Submission> parseSubmissions(const std::string &Text) {
  std::vector<Submission> Rows;
  try {
    for (const json &Row : arrayOf("submissions", Text))
      Rows.push_back(submissionOf(Row));
  } catch (const json::exception &Failure) {
    throw InvalidInput("submissions", Failure.what());
  }
  return Rows;
}

std::vector<LoggedRun> parseRunLogs(const std::string &Text) {
  std::vector<LoggedRun> Runs;
  try {
    for (const json &Log : arrayOf("logs", Text))
      for (const json &Row : Log.at("attempts"))
        Runs.push_back(runOf(Log.at("endpoint").get<std::string>(), Row));
  } catch (const json::exception &Failure) {
    throw InvalidInput("logs", Failure.what());
  }
  return Runs;
}

} // namespace teaselwalk::fakes
