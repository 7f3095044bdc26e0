#include "teaselwalk/peers/server.hpp"

#include "jsonrpc/dispatcher.hpp"

#include "teaselwalk/http/server.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <utility>

namespace teaselwalk::peers {
namespace {

http::ServerOptions httpOptions(const ServerOptions &Options) {
  http::ServerOptions Out;
  Out.Ip = Options.Ip;
  Out.Port = Options.Port;
  Out.MaxBodyBytes = Options.MaxBodyBytes;
  Out.MaxConnections = Options.MaxConnections;
  return Out;
}

} // namespace

class PeerServer::Impl {
public:
  Impl(const ServerOptions &Options, Submit OnMessage,
       runtime::TimelineBuffer &Timeline, runtime::Metrics &Registry)
      : OnMessage(std::move(OnMessage)), Timeline(Timeline), Registry(Registry),
        Methods(makeMethods()),
        Server(httpOptions(Options), [this](const http::Request &Message,
                                            const http::Responder &Answer) {
          Answer.send(respond(Message));
        }) {}

  std::map<std::string, jsonrpc::Dispatcher::Method> makeMethods() {
    std::map<std::string, jsonrpc::Dispatcher::Method> MethodTable;
    for (std::string_view Method : MethodNames) {
      std::string Name(Method);
      runtime::Counter &Accepted = receivedCounter(Name, "yes");
      runtime::Counter &Rejected = receivedCounter(Name, "no");
      MethodTable[Name] = [this, Name, &Accepted,
                           &Rejected](const std::string &Params) {
        return handleMethod(Name, Params, Accepted, Rejected);
      };
    }
    return MethodTable;
  }

  http::Response respond(const http::Request &Message) {
    http::Response Out;
    if (Message.Method != "POST" || http::pathOf(Message) != "/rpc") {
      Out.Status = 404;
      return Out;
    }
    Out.Body = Methods.handle(Message.Body);
    return Out;
  }

  runtime::Counter &receivedCounter(const std::string &Method,
                                    const char *TakenLabel) {
    return Registry.counter("teaselwalk_peer_received_total",
                            "Messages from peers.",
                            {{"method", Method}, {"taken", TakenLabel}});
  }

  /// Handles one method call. An exception becomes a JSON-RPC error, which
  /// tells the sender that the engine does not have the message. Therefore
  /// nothing may throw once `OnMessage` has been called.
  std::string handleMethod(const std::string &Method, const std::string &Params,
                           runtime::Counter &AcceptedCount,
                           runtime::Counter &RejectedCount) {
    Envelope Value = decode(Method, Params);
    int64_t Wall = runtime::wallMillis();
    Timeline.observe(Value.Sent, Wall);
    bool IsAccepted = OnMessage(std::move(Value));
    (IsAccepted ? AcceptedCount : RejectedCount).add();
    runtime::HybridTime Now = Timeline.stamp(Wall);
    return nlohmann::json(
               {{"taken", IsAccepted}, {"time", {Now.WallMs, Now.Logical}}})
        .dump();
  }

  Submit OnMessage;
  runtime::TimelineBuffer &Timeline;
  runtime::Metrics &Registry;
  jsonrpc::Dispatcher Methods;
  http::Server Server;
};

PeerServer::PeerServer(const ServerOptions &Options, Submit OnMessage,
                       runtime::TimelineBuffer &Timeline,
                       runtime::Metrics &Registry)
    : State(std::make_unique<Impl>(Options, std::move(OnMessage), Timeline,
                                   Registry)) {}

PeerServer::~PeerServer() = default;

uint16_t PeerServer::port() const { return State->Server.port(); }

void PeerServer::run() { State->Server.run(); }

void PeerServer::stop() { State->Server.stop(); }

} // namespace teaselwalk::peers
