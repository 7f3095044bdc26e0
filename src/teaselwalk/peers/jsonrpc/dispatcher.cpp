#include "dispatcher.hpp"

#include "json_text.hpp"

#include <jsonrpccpp/server.h>

#include <utility>

namespace teaselwalk {
namespace jsonrpc {
namespace {

using ::jsonrpc::Errors;
using ::jsonrpc::JsonRpcException;

constexpr const char *MalformedRequest =
    R"({"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"malformed request"}})";

} // namespace

class Dispatcher::Impl : public ::jsonrpc::IProcedureInvokationHandler {
public:
  explicit Impl(std::map<std::string, Method> MethodTable)
      : Methods(std::move(MethodTable)),
        Protocol(::jsonrpc::RequestHandlerFactory::createProtocolHandler(
            ::jsonrpc::JSONRPC_SERVER_V2, *this)) {
    for (const auto &NamedMethod : Methods)
      Protocol->AddProcedure(::jsonrpc::Procedure(
          NamedMethod.first, ::jsonrpc::PARAMS_BY_NAME, ::jsonrpc::JSON_OBJECT,
          static_cast<void *>(nullptr)));
  }

  // NOLINTNEXTLINE(readability-identifier-naming): overrides a library method
  void HandleMethodCall(::jsonrpc::Procedure &Procedure,
                        const Json::Value &Input,
                        Json::Value &Output) override {
    // The library turns only its own exceptions into error responses.
    try {
      Output =
          parseText(Methods.at(Procedure.GetProcedureName())(writeText(Input)));
    } catch (const std::exception &Failure) {
      throw JsonRpcException(Errors::ERROR_RPC_INVALID_PARAMS, Failure.what());
    }
  }

  // NOLINTNEXTLINE(readability-identifier-naming): overrides a library method
  void HandleNotificationCall(::jsonrpc::Procedure &,
                              const Json::Value &) override {}

  std::string handle(const std::string &Request) {
    // The library's JSON parser throws if the text is nested too deeply.
    try {
      std::string Response;
      Protocol->HandleRequest(Request, Response);
      return Response;
    } catch (const std::exception &) {
      return MalformedRequest;
    }
  }

private:
  std::map<std::string, Method> Methods;
  std::unique_ptr<::jsonrpc::IProtocolHandler> Protocol;
};

Dispatcher::Dispatcher(std::map<std::string, Method> Methods)
    : State(new Impl(std::move(Methods))) {}

Dispatcher::~Dispatcher() = default;

std::string Dispatcher::handle(const std::string &Request) {
  return State->handle(Request);
}

} // namespace jsonrpc
} // namespace teaselwalk
