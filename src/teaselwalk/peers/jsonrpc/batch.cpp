#include "batch.hpp"

#include "json_text.hpp"

#include <jsonrpccpp/client.h>

#include <stdexcept>
#include <utility>

namespace teaselwalk {
namespace jsonrpc {
namespace {

/// Gives a response that has already arrived to the library's client.
class ArrivedResponse : public ::jsonrpc::IClientConnector {
public:
  explicit ArrivedResponse(const std::string &Text) : Text(Text) {}

  // A stricter exception specification than the base class, whose dynamic one
  // is deprecated.
  void SendRPCMessage(const std::string &, // NOLINT: name of the library
                      std::string &Result) noexcept override {
    Result = Text;
  }

private:
  const std::string &Text;
};

Reply replyOf(::jsonrpc::BatchResponse &Response, int Number) {
  Json::Value Id(Number);
  Reply Out;
  if (Response.getErrorCode(Id) != 0) {
    Out.State = Reply::Kind::Error;
    Out.Text = Response.getErrorMessage(Id);
    return Out;
  }
  Json::Value Result = Response.getResult(Id);
  if (!Result.isObject())
    return Out;
  Out.State = Reply::Kind::Result;
  Out.Text = writeText(Result);
  return Out;
}

} // namespace

class Batch::Impl {
public:
  ::jsonrpc::BatchCall Calls;
  size_t Count = 0;
};

Batch::Batch() : State(new Impl) {}
Batch::~Batch() = default;

void Batch::add(const std::string &Method, const std::string &Params) {
  Json::Value Value = parseText(Params);
  if (!Value.isObject())
    throw std::runtime_error("parameters must be a JSON object");
  State->Calls.addCall(Method, Value);
  ++State->Count;
}

size_t Batch::size() const { return State->Count; }

std::string Batch::text() const { return State->Calls.toString(); }

std::vector<Reply> decodeReplies(const std::string &Response, size_t Count) {
  std::vector<Reply> Out(Count);
  try {
    // The library numbers the calls of a batch from 1 and assigns replies by
    // these numbers. The calls' content plays no part in decoding.
    ::jsonrpc::BatchCall Calls;
    std::vector<int> Numbers;
    for (size_t I = 0; I < Count; ++I)
      Numbers.push_back(Calls.addCall("", Json::Value()));
    ArrivedResponse Connector(Response);
    ::jsonrpc::Client Client(Connector);
    ::jsonrpc::BatchResponse Replies;
    Client.CallProcedures(Calls, Replies);
    for (size_t I = 0; I < Count; ++I)
      Out[I] = replyOf(Replies, Numbers[I]);
  } catch (const std::exception &) {
    return std::vector<Reply>(Count);
  }
  return Out;
}

} // namespace jsonrpc
} // namespace teaselwalk
