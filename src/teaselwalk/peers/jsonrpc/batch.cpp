#include "batch.hpp"

#include "json_text.hpp"

#include <jsonrpccpp/client/batchcall.h>

#include <stdexcept>
#include <utility>

namespace teaselwalk {
namespace jsonrpc {
namespace {

Reply toReply(const Json::Value &Entry) {
  Reply Out;
  const Json::Value &Error = Entry["error"];
  const Json::Value &Result = Entry["result"];
  if (Error.isObject()) {
    Out.State = Reply::Kind::Error;
    if (Error["message"].isString())
      Out.Text = Error["message"].asString();
  } else if (Result.isObject()) {
    Out.State = Reply::Kind::Result;
    Out.Text = writeText(Result);
  }
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
    throw std::runtime_error("JSON-RPC parameters must be a JSON object");
  State->Calls.addCall(Method, Value);
  ++State->Count;
}

size_t Batch::size() const { return State->Count; }

std::string Batch::text() const { return State->Calls.toString(); }

// Responses are not parsed with the client of libjsonrpccpp: its functions have
// exception specifications, so the exception for a malformed response, such as
// one nested too deeply, terminates the process.
std::vector<Reply> decodeReplies(const std::string &Response, size_t Count) {
  std::vector<Reply> Out(Count);
  Json::Value Entries;
  try {
    Entries = parseText(Response);
  } catch (const std::exception &) {
    return Out;
  }
  if (!Entries.isArray())
    return Out;
  for (const Json::Value &Entry : Entries) {
    // `BatchCall` numbers the calls from 1.
    if (!Entry.isObject() || !Entry["id"].isUInt())
      continue;
    size_t CallId = Entry["id"].asUInt();
    if (CallId >= 1 && CallId <= Count)
      Out[CallId - 1] = toReply(Entry);
  }
  return Out;
}

} // namespace jsonrpc
} // namespace teaselwalk
