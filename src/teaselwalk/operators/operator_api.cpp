#include "teaselwalk/operators/operator_api.hpp"

#include "teaselwalk/config/access.hpp"

#include "console.hpp"
#include "json_api.hpp"

namespace teaselwalk::operators {
namespace {

bool startsWith(const std::string &Text, const std::string &Prefix) {
  return Text.compare(0, Prefix.size(), Prefix) == 0;
}

} // namespace

class OperatorApi::Impl {
public:
  Impl(ConfigBackend &Backend, OperatorOptions Given)
      : Backend(Backend), Options(std::move(Given)), Pages(Backend, Options) {}

  void handle(const http::Request &Message, const Answer &Done) {
    std::shared_ptr<const CurrentConfig> Current = Backend.current();
    if (!Current)
      return Done(errorAnswer(503, "no configuration was read yet"));
    if (startsWith(pathOf(Message), "/console"))
      return Pages.handle(*Current, Message, Done);
    auto Name =
        config::authenticateOperator(Current->Snapshot.Content, Message.Bearer);
    if (!Name)
      return Done(errorAnswer(401, "an operator's credential is needed"));
    try {
      answerJson(Backend, *Current, *Name, Options.WallClockMs(), Message,
                 Done);
    } catch (const InvalidInput &Failure) {
      Done(refusalOf(Failure));
    }
  }

private:
  ConfigBackend &Backend;
  OperatorOptions Options;
  Console Pages;
};

OperatorApi::OperatorApi(ConfigBackend &Backend, OperatorOptions Options)
    : State(std::make_unique<Impl>(Backend, std::move(Options))) {}

OperatorApi::~OperatorApi() = default;

void OperatorApi::handle(const http::Request &Message, const Answer &Done) {
  State->handle(Message, Done);
}

http::Server::Handler OperatorApi::handler() {
  return [this](const http::Request &Message, const http::Responder &Out) {
    handle(Message,
           [Out](http::Response Ready) { Out.send(std::move(Ready)); });
  };
}

} // namespace teaselwalk::operators
