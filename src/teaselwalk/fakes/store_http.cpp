#include "store_http.hpp"

#include "teaselwalk/base/error.hpp"
#include "teaselwalk/fakes/faults.hpp"

#include <nlohmann/json.hpp>

#include <charconv>

namespace teaselwalk::fakes {
namespace {

using nlohmann::json;
using protocol::StoreOperation;
using protocol::StoreReply;
using protocol::StoreRequest;
using protocol::StoreStatus;

constexpr const char *KeyPath = "/kv/";
constexpr const char *LeasePath = "/leases";

struct MethodRow {
  const char *Method;
  StoreOperation Operation;
};

constexpr MethodRow KeyMethods[] = {
    {"GET", StoreOperation::Read},
    {"PUT", StoreOperation::Write},
    {"DELETE", StoreOperation::Remove},
};

bool startsWith(const std::string &Text, const std::string &Prefix) {
  return Text.compare(0, Prefix.size(), Prefix) == 0;
}

bool endsWith(const std::string &Text, const std::string &Suffix) {
  return Text.size() >= Suffix.size() &&
         Text.compare(Text.size() - Suffix.size(), Suffix.size(), Suffix) == 0;
}

json objectOf(const http::Request &Message) {
  json Json = json::parse(Message.Body, nullptr, false);
  if (!Json.is_object())
    throw InvalidInput("body", "must be a JSON object");
  return Json;
}

StoreRequest keyRequest(const http::Request &Message) {
  StoreRequest Call;
  Call.Key = http::percentDecode(
      http::pathOf(Message).substr(std::string(KeyPath).size()));
  bool Known = false;
  for (const MethodRow &Row : KeyMethods)
    if (Message.Method == Row.Method) {
      Call.Operation = Row.Operation;
      Known = true;
    }
  if (!Known)
    throw InvalidInput("method", "must be GET, PUT or DELETE");
  if (Call.Operation == StoreOperation::Read) {
    Call.Unless = numberOf(Message, "unless_version", 0, UINT64_MAX);
    return Call;
  }
  if (!http::queryOf(Message, "version"))
    throw InvalidInput("version", "is missing");
  Call.Expected = numberOf(Message, "version", 0, UINT64_MAX);
  if (Call.Operation != StoreOperation::Write)
    return Call;
  Call.Lease = http::queryOf(Message, "lease").value_or("");
  json Body = objectOf(Message);
  auto Value = Body.find("value");
  if (Value == Body.end() || !Value->is_string())
    throw InvalidInput("value", "must be a string");
  Call.Value = Value->get<std::string>();
  return Call;
}

StoreRequest grantRequest(const http::Request &Message) {
  json Body = objectOf(Message);
  auto Ttl = Body.find("ttl_ms");
  if (Ttl == Body.end() || !Ttl->is_number_unsigned() ||
      Ttl->get<uint64_t>() > INT32_MAX)
    throw InvalidInput("ttl_ms", "must be an integer from 1 to 3600000 ms");
  StoreRequest Call;
  Call.Operation = StoreOperation::GrantLease;
  Call.Ttl = Duration(Ttl->get<int64_t>());
  return Call;
}

StoreRequest renewRequest(const std::string &Path) {
  StoreRequest Call;
  Call.Operation = StoreOperation::RenewLease;
  size_t Begin = std::string(LeasePath).size() + 1;
  Call.Lease = http::percentDecode(
      Path.substr(Begin, Path.size() - Begin - std::string("/renew").size()));
  return Call;
}

json okBody(const StoreRequest &Call, const StoreReply &Reply) {
  switch (Call.Operation) {
  case StoreOperation::Read:
    return {{"value", Reply.Value}, {"version", Reply.Version}};
  case StoreOperation::GrantLease:
    return {{"lease", Reply.Value}};
  case StoreOperation::RenewLease:
    return json::object();
  case StoreOperation::List: {
    json Entries = json::array();
    for (const protocol::StoreEntry &Row : Reply.Entries)
      Entries.push_back(
          {{"key", Row.Key}, {"value", Row.Value}, {"version", Row.Version}});
    return {{"entries", std::move(Entries)}, {"version", Reply.Version}};
  }
  case StoreOperation::Watch: // Answered by `FakeStore`, which can wait.
  case StoreOperation::Write:
  case StoreOperation::Remove:
    break;
  }
  return {{"version", Reply.Version}};
}

} // namespace

StoreRequest toStoreRequest(const http::Request &Message) {
  std::string Path = http::pathOf(Message);
  if (startsWith(Path, KeyPath))
    return keyRequest(Message);
  if (Path == "/list" && Message.Method == "GET") {
    StoreRequest Call;
    Call.Operation = StoreOperation::List;
    Call.Key = http::queryOf(Message, "prefix").value_or("");
    return Call;
  }
  if (Path == LeasePath && Message.Method == "POST")
    return grantRequest(Message);
  if (startsWith(Path, std::string(LeasePath) + "/") &&
      endsWith(Path, "/renew") && Message.Method == "POST" &&
      Path.size() > std::string("/leases//renew").size())
    return renewRequest(Path);
  throw InvalidInput("path", "is not a call to the store");
}

http::Response toHttp(const StoreRequest &Call, const StoreReply &Reply) {
  switch (Reply.Status) {
  case StoreStatus::Ok:
    return {200, okBody(Call, Reply).dump()};
  case StoreStatus::Unchanged:
    return {304, ""};
  case StoreStatus::NotFound:
    return notTaken(404, "no such key or lease");
  case StoreStatus::Conflict:
    return {409, json({{"version", Reply.Version}}).dump()};
  case StoreStatus::Refused:
  case StoreStatus::NotSent:
  case StoreStatus::Lost:
    break;
  }
  return notTaken(413, "the key is empty, the value is larger than 1 MB or the "
                       "lease time is out of range");
}

uint64_t numberOf(const http::Request &Message, const std::string &Name,
                  uint64_t Default, uint64_t Max) {
  auto Text = http::queryOf(Message, Name);
  if (!Text)
    return Default;
  uint64_t Value = 0;
  const char *End = Text->data() + Text->size();
  auto Parsed = std::from_chars(Text->data(), End, Value);
  if (Parsed.ec != std::errc() || Parsed.ptr != End || Value > Max)
    throw InvalidInput(Name,
                       "must be an integer from 0 to " + std::to_string(Max));
  return Value;
}

} // namespace teaselwalk::fakes
