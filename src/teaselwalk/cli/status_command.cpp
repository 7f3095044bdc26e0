#include "teaselwalk/base/error.hpp"

#include "command_rows.hpp"
#include "remote.hpp"

#include <iostream>

namespace teaselwalk::cli {
namespace {

constexpr const char *StatusUsage =
    R"(Shows one job, or the state of an entry process.

Usage:
  teaselwalk status --server ADDRESS [--key-file FILE] [--timeout MS] [JOB]
  teaselwalk status --help

Options:
  --server ADDRESS  Entry process or load balancer, IP:PORT.
  --key-file FILE   File with the team's key.
  --timeout MS      Wait for the answer [default: 5000].)";

constexpr const char *CancelUsage =
    R"(Cancels jobs.

Usage:
  teaselwalk cancel --server ADDRESS [--key-file FILE] [--timeout MS] JOB...
  teaselwalk cancel --help

Options:
  --server ADDRESS  Entry process or load balancer, IP:PORT.
  --key-file FILE   File with the team's key.
  --timeout MS      Wait for each answer [default: 5000].)";

http::Result exchange(const Arguments &Args, const char *Method,
                      const std::string &Target) {
  http::Request Message;
  Message.Method = Method;
  Message.Target = Target;
  Message.Bearer = secretOf(Args, "--key-file");
  return http::sendAndWait(addressOf(Args, "--server"), Message,
                           durationOf(Args, "--timeout", Duration(5000)));
}

void printJob(const nlohmann::json &Job) {
  std::cout << "job " << textOf(Job, "job") << ": " << textOf(Job, "state");
  std::string Reason = textOf(Job, "reason");
  if (!Reason.empty())
    std::cout << " (" << Reason << ")";
  std::cout << '\n';
  if (!Job.contains("tasks") || !Job["tasks"].is_array())
    return;
  for (const nlohmann::json &Task : Job["tasks"]) {
    std::cout << "  task " << Task.value("index", 0) << ": "
              << textOf(Task, "state") << ", " << textOf(Task, "verdict");
    std::string Endpoint = textOf(Task, "endpoint");
    if (!Endpoint.empty())
      std::cout << ", on " << Endpoint;
    std::cout << ", attempt " << Task.value("attempt", 0) << '\n';
  }
}

int runStatus(const Arguments &Args) {
  auto Job = optionOf(Args, "JOB");
  std::string Target =
      Job ? "/v1/jobs/" + http::percentEncode(*Job) : "/v1/status";
  http::Result Got = exchange(Args, "GET", Target);
  // A status request changes nothing, so there is no verdict on it.
  if (Got.State != protocol::Delivery::Answered)
    throw Error("no answer from " + *optionOf(Args, "--server"));
  if (Got.Message.Status != 200)
    throw Error(reasonOf(Got.Message));
  nlohmann::json Body = bodyOf(Got.Message);
  if (Job && Body.is_object())
    printJob(Body);
  else
    std::cout << Body.dump(2) << '\n';
  return ExitOk;
}

int runCancel(const Arguments &Args) {
  int Code = ExitOk;
  for (const std::string &Job : Args.at("JOB").asStringList()) {
    http::Result Got =
        exchange(Args, "DELETE", "/v1/jobs/" + http::percentEncode(Job));
    bool Answered = Got.State == protocol::Delivery::Answered;
    bool Done = Answered && Got.Message.Status == 200;
    if (Done)
      std::cout << Job << ": cancelled\n";
    else if (Answered)
      std::cout << Job << ": not cancelled: " << reasonOf(Got.Message) << '\n';
    else if (Got.State == protocol::Delivery::NotSent)
      std::cout << Job << ": not cancelled: no connection\n";
    else
      std::cout << Job << ": may have been cancelled: no whole answer\n";
    if (!Done)
      Code = ExitFailure;
  }
  return Code;
}

} // namespace

const Command StatusCommand = {"status", StatusUsage, runStatus};
const Command CancelCommand = {"cancel", CancelUsage, runCancel};

} // namespace teaselwalk::cli
