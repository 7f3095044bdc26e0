#include "batch.hpp"

#include "json_text.hpp"

#include <jsonrpccpp/client/batchcall.h>

#include <stdexcept>
#include <utility>

namespace teaselwalk {
namespace jsonrpc {
namespace {

Reply replyOf(const Json::Value &Item) {
  Reply Out;
  const Json::Value &Error = Item["error"];
  const Json::Value &Result = Item["result"];
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
    throw std::runtime_error("parameters must be a JSON object");
  State->Calls.addCall(Method, Value);
  ++State->Count;
}

size_t Batch::size() const { return State->Count; }

std::string Batch::text() const { return State->Calls.toString(); }

// The library's client is not used for responses: its functions have exception
// specifications, and a malformed response, such as one nested too deeply, ends
// the process.
std::vector<Reply> decodeReplies(const std::string &Response, size_t Count) {
  std::vector<Reply> Out(Count);
  Json::Value Items;
  try {
    Items = parseText(Response);
  } catch (const std::exception &) {
    return Out;
  }
  if (!Items.isArray())
    return Out;
  for (const Json::Value &Item : Items) {
    // `BatchCall` numbers the calls from 1.
    if (!Item.isObject() || !Item["id"].isUInt())
      continue;
    size_t Number = Item["id"].asUInt();
    if (Number >= 1 && Number <= Count)
      Out[Number - 1] = replyOf(Item);
  }
  return Out;
}

} // namespace jsonrpc
} // namespace teaselwalk
