#include "teaselwalk/fakes/fake_endpoint.hpp"

#include "run_log_json.hpp"

#include "teaselwalk/base/error.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace teaselwalk::fakes {
namespace {

using nlohmann::json;
using protocol::StaleEpoch;

template <typename Command> Command commandOf(const http::Request &Message) {
  json Json = json::parse(Message.Body, nullptr, false);
  if (!Json.is_object())
    throw InvalidInput("body", "must be a JSON object");
  try {
    return Json.get<Command>();
  } catch (const json::exception &Failure) {
    throw InvalidInput("body", Failure.what());
  }
}

/// Marks in the run log may be cut within a character.
std::string textOf(const json &Json) {
  return Json.dump(-1, ' ', false, json::error_handler_t::replace);
}

http::Response toHttp(const StaleEpoch &Value) {
  return {409, json(Value).dump()};
}

http::Response toHttp(const StateAnswer &Value) {
  if (const auto *Stale = std::get_if<StaleEpoch>(&Value))
    return toHttp(*Stale);
  return {200, json(std::get<protocol::EndpointState>(Value)).dump()};
}

http::Response toHttp(const StopAnswer &Value) {
  if (const auto *Stale = std::get_if<StaleEpoch>(&Value))
    return toHttp(*Stale);
  return {200, json(std::get<protocol::StopResult>(Value)).dump()};
}

/// The answer to a run command that is not kept waiting for the task's end.
struct RunResponse {
  http::Response operator()(const RunStarted &) const { return {202, "{}"}; }
  http::Response operator()(const RunDuplicate &) const { return {208, "{}"}; }
  http::Response operator()(const RunForgotten &) const {
    return {410, R"({"error":"the attempt has ended here before"})"};
  }
  http::Response operator()(const RunRefused &) const {
    return notTaken(507, "no room");
  }
  http::Response operator()(const protocol::RunResult &Result) const {
    return {200, json(Result).dump()};
  }
  http::Response operator()(const StaleEpoch &Stale) const {
    return toHttp(Stale);
  }
};

} // namespace

FakeEndpoint::FakeEndpoint(HttpHost &Host, EndpointOptions Options,
                           const std::string &Ip, uint16_t Port)
    : Host(Host), Model(std::move(Options)), Gate(Host),
      Handle([this](const http::Request &Message, Reply Answer) {
        handle(Message, std::move(Answer));
      }) {
  this->Port =
      Host.listen(Ip, Port, [this](http::Request Message, Reply Answer) {
        onRequest(std::move(Message), std::move(Answer));
      });
}

void FakeEndpoint::onRequest(http::Request Message, Reply Answer) {
  if (Gate.serve(Message, Answer))
    return applyFaults();
  if (!serveControl(Message, Answer))
    Gate.pass(std::move(Message), std::move(Answer), Handle);
}

bool FakeEndpoint::serveControl(const http::Request &Message, Reply &Answer) {
  std::string Path = http::pathOf(Message);
  Model.advance(Host.now());
  answerWaiting();
  if (Path == "/ran") {
    Answer.send({200, textOf(runLogJson(Model, Host.now()))});
  } else if (Path == "/peak") {
    Answer.send({200, peakJson(Model).dump()});
  } else if (Path == "/leaving" && Message.Method == "PUT") {
    json Json = json::parse(Message.Body, nullptr, false);
    bool Valid = Json.is_object() && Json.contains("leaving") &&
                 Json["leaving"].is_boolean();
    if (Valid)
      Model.setLeaving(Json["leaving"].get<bool>());
    Answer.send(Valid ? http::Response{200, "{}"}
                      : notTaken(400, "leaving must be true or false"));
  } else if (Path == "/crash" && Message.Method == "POST") {
    Model.crash(Host.now());
    answerWaiting();
    Answer.send({200, "{}"});
  } else {
    return false;
  }
  return true;
}

void FakeEndpoint::handle(const http::Request &Message, Reply Answer) {
  std::string Path = http::pathOf(Message);
  TimePoint Now = Host.now();
  try {
    if (Message.Method != "POST")
      throw InvalidInput("method", "must be POST");
    if (Path == "/attach") {
      Answer.send(toHttp(
          Model.attach(commandOf<protocol::AttachCommand>(Message), Now)));
    } else if (Path == "/renew") {
      Answer.send(
          toHttp(Model.renew(commandOf<protocol::RenewCommand>(Message), Now)));
    } else if (Path == "/stop") {
      Answer.send(
          toHttp(Model.stop(commandOf<protocol::StopCommand>(Message), Now)));
    } else if (Path == "/run") {
      run(Message, std::move(Answer));
    } else {
      Answer.send(notTaken(404, "no such path"));
    }
  } catch (const InvalidInput &Failure) {
    Answer.send(notTaken(400, Failure.what()));
  }
  answerWaiting();
  arm();
}

void FakeEndpoint::run(const http::Request &Message, Reply Answer) {
  auto Command = commandOf<protocol::RunCommand>(Message);
  RunAnswer Done = Model.run(Command, Host.now());
  if (Command.Wait && std::holds_alternative<RunStarted>(Done)) {
    Waiting.emplace(Key(Command.Id.Task.str(), Command.Id.Number),
                    std::move(Answer));
    return;
  }
  Answer.send(std::visit(RunResponse(), Done));
}

void FakeEndpoint::applyFaults() {
  Model.options().FailAll = Gate.faults().FailAll;
  Model.options().Plain = Gate.faults().Plain;
}

void FakeEndpoint::answerWaiting() {
  for (EndedAttempt &Row : Model.takeEnded()) {
    auto Found = Waiting.find({Row.Id.Task.str(), Row.Id.Number});
    if (Found == Waiting.end())
      continue;
    // The connections of a crashed VM close without an answer.
    if (Row.Why != RunEnd::Crashed)
      Found->second.send({200, json(Row.Result).dump()});
    Waiting.erase(Found);
  }
}

/// Sets a timer for the next end of a task, unless an earlier one is set.
void FakeEndpoint::arm() {
  auto Next = Model.nextEnd();
  if (!Next || (Armed && *Armed <= *Next))
    return;
  Armed = Next;
  Duration Delay = std::max(Duration(0), *Next - Host.now());
  Host.after(Delay, [this, At = *Next] {
    if (Armed == At)
      Armed.reset();
    Model.advance(Host.now());
    answerWaiting();
    arm();
  });
}

} // namespace teaselwalk::fakes
