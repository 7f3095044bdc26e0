#include "teaselwalk/base/error.hpp"
#include "teaselwalk/base/verdict.hpp"

#include "command_rows.hpp"
#include "remote.hpp"

#include <iostream>
#include <random>

namespace teaselwalk::cli {
namespace {

constexpr const char *Usage =
    R"(Submits calls and jobs from JSON files and prints what became of each.

Usage:
  teaselwalk submit --server ADDRESS [--key-file FILE] [--request-id TEXT]
                    [--timeout MS] FILE...
  teaselwalk submit --help

Options:
  --server ADDRESS   Entry process or load balancer, IP:PORT.
  --key-file FILE    File with the team's key.
  --request-id TEXT  Id of the requests, by default random. Submitting a job
                     again with the same id does not make a second job. With
                     several requests, "-1", "-2", ... is added.
  --timeout MS       Wait for each answer; by default 10000, or 5000 more than
                     the deadline of a call.

A file has one request or an array of requests. A request with the field "kind"
is a job, any other is a call. Exit code: 0 if every request was accepted or
ran, 1 otherwise.)";

using Json = nlohmann::json;

struct Item {
  std::string Place; ///< File, and the index in it if there are several.
  Json Body;
};

/// All requests of the files. Nothing is sent unless every file is readable.
std::vector<Item> readItems(const std::vector<std::string> &Files) {
  std::vector<Item> Items;
  std::vector<FieldError> Mistakes;
  for (const std::string &File : Files) {
    Json Content = Json::parse(readFile(File), nullptr, false);
    if (Content.is_object())
      Items.push_back({File, Content});
    else if (Content.is_array())
      for (size_t I = 0; I < Content.size(); ++I)
        Items.push_back({File + "[" + std::to_string(I) + "]", Content[I]});
    else
      Mistakes.push_back({File, "must be a JSON object or array"});
  }
  if (!Mistakes.empty())
    throw InvalidInput(std::move(Mistakes));
  return Items;
}

std::string randomId() {
  std::random_device Device;
  std::string Out = "cli-";
  for (int I = 0; I < 16; ++I)
    Out += "0123456789abcdef"[Device() % 16];
  return Out;
}

bool isJob(const Json &Body) {
  return Body.is_object() && Body.contains("kind");
}

Duration timeoutOf(const Arguments &Args, const Json &Body) {
  Duration Default(10000);
  if (Body.is_object() && Body.contains("deadline_ms") &&
      Body["deadline_ms"].is_number_unsigned())
    Default = Duration(
        std::min<int64_t>(5000 + Body["deadline_ms"].get<int64_t>(), 3600000));
  return durationOf(Args, "--timeout", Default);
}

/// What became of a request that was answered, for people.
std::string describe(const http::Response &Answer, const std::string &Id) {
  Json Body = bodyOf(Answer);
  if (Answer.Status == 202)
    return "accepted as job " + textOf(Body, "job");
  if (Answer.Status == 200)
    return "ran on " + textOf(Body, "endpoint") + ": " + textOf(Body, "result");
  std::string Verdict = textOf(Body, "verdict");
  if (Verdict == toString(Verdict::NotRun))
    return "not run: " + reasonOf(Answer);
  if (Verdict == toString(Verdict::Ran))
    return "ran and failed: " + reasonOf(Answer);
  // Without a verdict nothing is certain.
  std::string Job = textOf(Body, "job");
  return "may have run: " + reasonOf(Answer) +
         (Job.empty() ? "" : "; ask with: status " + Job) + "; request id " +
         Id;
}

/// Sends one request. Returns true if it was accepted or ran.
bool submit(const Arguments &Args, const protocol::Address &Server,
            const std::string &Key, const Item &Row, const std::string &Id) {
  http::Request Message;
  Message.Method = "POST";
  Message.Target = isJob(Row.Body) ? "/v1/jobs" : "/v1/calls";
  Message.Body = Row.Body.dump();
  Message.Bearer = Key;
  Message.RequestId = Id;
  http::Result Got =
      http::sendAndWait(Server, Message, timeoutOf(Args, Row.Body));
  bool Answered = Got.State == protocol::Delivery::Answered;
  std::string What =
      Answered ? describe(Got.Message, Id) : withoutAnswer(Got.State, Server);
  if (Got.State == protocol::Delivery::Lost)
    What += isJob(Row.Body)
                ? "; submit again with --request-id " + Id + " to find out"
                : "; request id " + Id;
  std::cout << Row.Place << ": " << What << std::endl;
  return Answered && (Got.Message.Status == 200 || Got.Message.Status == 202);
}

int run(const Arguments &Args) {
  std::vector<Item> Items = readItems(Args.at("FILE").asStringList());
  protocol::Address Server = addressOf(Args, "--server");
  std::string Key = secretOf(Args, "--key-file");
  auto Given = optionOf(Args, "--request-id");
  int Code = ExitOk;
  for (size_t I = 0; I < Items.size(); ++I) {
    std::string Id = Given ? *Given : randomId();
    if (Given && Items.size() > 1)
      Id += "-" + std::to_string(I + 1);
    if (!submit(Args, Server, Key, Items[I], Id))
      Code = ExitFailure;
  }
  return Code;
}

} // namespace

const Command SubmitCommand = {"submit", Usage, run};

} // namespace teaselwalk::cli
