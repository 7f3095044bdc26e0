#include "teaselwalk/platform/store_client.hpp"

#include "teaselwalk/base/error.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <utility>

namespace teaselwalk::platform {
namespace {

using nlohmann::json;
using protocol::Delivery;
using protocol::StoreEntry;
using protocol::StoreOperation;
using protocol::StoreReply;
using protocol::StoreRequest;
using protocol::StoreStatus;
using protocol::StoreVersion;

std::string keyPath(const StoreRequest &Call) {
  return "/kv/" + http::percentEncode(Call.Key);
}

std::string expectedPath(const StoreRequest &Call) {
  return keyPath(Call) + "?version=" + std::to_string(Call.Expected);
}

std::string bodyOf(const json &Json) {
  try {
    return Json.dump();
  } catch (const json::exception &) {
    throw InvalidInput("value", "must be UTF-8");
  }
}

http::Request readRequest(const StoreRequest &Call) {
  std::string Target = keyPath(Call);
  if (Call.Unless > 0)
    Target += "?unless_version=" + std::to_string(Call.Unless);
  return {"GET", Target};
}

http::Request writeRequest(const StoreRequest &Call) {
  std::string Target = expectedPath(Call);
  if (!Call.Lease.empty())
    Target += "&lease=" + http::percentEncode(Call.Lease);
  return {"PUT", Target, bodyOf({{"value", Call.Value}})};
}

http::Request removeRequest(const StoreRequest &Call) {
  return {"DELETE", expectedPath(Call)};
}

http::Request listRequest(const StoreRequest &Call) {
  return {"GET", "/list?prefix=" + http::percentEncode(Call.Key)};
}

http::Request watchRequest(const StoreRequest &Call) {
  return {"GET", "/watch?prefix=" + http::percentEncode(Call.Key) +
                     "&after=" + std::to_string(Call.Unless) +
                     "&wait_ms=" + std::to_string(Call.Ttl.count())};
}

http::Request grantRequest(const StoreRequest &Call) {
  return {"POST", "/leases", bodyOf({{"ttl_ms", Call.Ttl.count()}})};
}

http::Request renewRequest(const StoreRequest &Call) {
  return {"POST", "/leases/" + http::percentEncode(Call.Lease) + "/renew"};
}

bool readVersion(const json &Json, StoreVersion &Version) {
  auto Found = Json.is_object() ? Json.find("version") : Json.end();
  if (!Json.is_object() || Found == Json.end() || !Found->is_number_unsigned())
    return false;
  Version = Found->get<StoreVersion>();
  return true;
}

bool readText(const json &Json, const char *Name, std::string &Text) {
  if (!Json.is_object())
    return false;
  auto Found = Json.find(Name);
  if (Found == Json.end() || !Found->is_string())
    return false;
  Text = Found->get<std::string>();
  return true;
}

// Each of the following functions fills the reply from the body of a 200 answer
// and returns false if the body is malformed.

bool fillRead(const json &Json, StoreReply &Reply) {
  return readVersion(Json, Reply.Version) && Reply.Version > 0 &&
         readText(Json, "value", Reply.Value);
}

bool fillWrite(const json &Json, StoreReply &Reply) {
  return readVersion(Json, Reply.Version) && Reply.Version > 0;
}

bool fillObject(const json &Json, StoreReply &) { return Json.is_object(); }

bool fillList(const json &Json, StoreReply &Reply) {
  if (!readVersion(Json, Reply.Version))
    return false;
  auto Entries = Json.find("entries");
  if (Entries == Json.end() || !Entries->is_array())
    return false;
  for (const json &Row : *Entries) {
    StoreEntry Entry;
    if (!readVersion(Row, Entry.Version) || !readText(Row, "key", Entry.Key) ||
        !readText(Row, "value", Entry.Value))
      return false;
    Reply.Entries.push_back(std::move(Entry));
  }
  return true;
}

bool fillWatch(const json &Json, StoreReply &Reply) {
  if (!readVersion(Json, Reply.Version))
    return false;
  auto Changes = Json.find("keys");
  if (Changes == Json.end() || !Changes->is_array())
    return false;
  for (const json &Row : *Changes) {
    StoreEntry Entry;
    if (!readVersion(Row, Entry.Version) || !readText(Row, "key", Entry.Key))
      return false;
    Reply.Entries.push_back(std::move(Entry));
  }
  return true;
}

bool fillLease(const json &Json, StoreReply &Reply) {
  return readText(Json, "lease", Reply.Value) && !Reply.Value.empty();
}

struct OperationRow {
  StoreOperation Operation;
  http::Request (*Make)(const StoreRequest &Call);
  bool (*Fill)(const json &Json, StoreReply &Reply);
};

constexpr OperationRow Operations[] = {
    {StoreOperation::Read, readRequest, fillRead},
    {StoreOperation::Write, writeRequest, fillWrite},
    {StoreOperation::Remove, removeRequest, fillObject},
    {StoreOperation::List, listRequest, fillList},
    {StoreOperation::Watch, watchRequest, fillWatch},
    {StoreOperation::GrantLease, grantRequest, fillLease},
    {StoreOperation::RenewLease, renewRequest, fillObject},
};

const OperationRow &operationRowOf(StoreOperation Operation) {
  for (const OperationRow &Row : Operations)
    if (Row.Operation == Operation)
      return Row;
  throw Error("unknown store operation");
}

bool isCompareAndSwap(const StoreRequest &Call) {
  return Call.Operation == StoreOperation::Write ||
         Call.Operation == StoreOperation::Remove;
}

/// True if the body states that the call was not carried out.
bool saysNotRun(const json &Json) {
  std::string Text;
  return readText(Json, "verdict", Text) && Text == toString(Verdict::NotRun);
}

/// The status of an answer with a code other than 200. Sets the version of
/// \p Reply for Unchanged and Conflict.
StoreStatus statusOfNon200(const StoreRequest &Call, int Code, const json &Json,
                           StoreReply &Reply) {
  if (Code == 304) {
    bool IsConditionalRead =
        Call.Operation == StoreOperation::Read && Call.Unless > 0;
    Reply.Version = Call.Unless;
    return IsConditionalRead ? StoreStatus::Unchanged : StoreStatus::Lost;
  }
  if (Code == 409)
    return isCompareAndSwap(Call) && readVersion(Json, Reply.Version)
               ? StoreStatus::Conflict
               : StoreStatus::Lost;
  if (Code == 404)
    return StoreStatus::NotFound;
  // 408 means that the server timed out during the call, which may still have
  // taken effect.
  if (Code >= 400 && Code < 500 && Code != 408)
    return StoreStatus::Refused;
  if (Code >= 500 && saysNotRun(Json))
    return StoreStatus::Refused;
  return StoreStatus::Lost;
}

} // namespace

http::Request toHttp(const StoreRequest &Call) {
  return operationRowOf(Call.Operation).Make(Call);
}

StoreReply toReply(const StoreRequest &Call, const http::Result &Outcome) {
  StoreReply Reply;
  if (Outcome.State != Delivery::Answered) {
    Reply.Status = Outcome.State == Delivery::NotSent ? StoreStatus::NotSent
                                                      : StoreStatus::Lost;
    return Reply;
  }
  json Json = json::parse(Outcome.Message.Body, nullptr, false);
  int Code = Outcome.Message.Status;
  if (Code != 200) {
    Reply.Status = statusOfNon200(Call, Code, Json, Reply);
    return Reply;
  }
  if (!operationRowOf(Call.Operation).Fill(Json, Reply))
    return StoreReply();
  Reply.Status = StoreStatus::Ok;
  return Reply;
}

StoreClient::StoreClient(http::Client &Sender, protocol::Address Store)
    : Sender(Sender), Store(std::move(Store)) {}

void StoreClient::send(const StoreRequest &Call, Duration Timeout,
                       Callback Done) const {
  auto Finish = [Call, Done = std::move(Done)](const http::Result &Outcome) {
    Done(toReply(Call, Outcome));
  };
  try {
    Sender.send(Store, toHttp(Call), Timeout, Finish);
  } catch (const InvalidInput &) {
    // The call cannot be encoded. Sending to an address without an IP reports
    // NotSent, and does so on the client's thread like any other result.
    Sender.send(protocol::Address(), {}, Timeout, Finish);
  }
}

} // namespace teaselwalk::platform
