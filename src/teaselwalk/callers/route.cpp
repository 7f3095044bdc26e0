#include "route.hpp"

#include "teaselwalk/base/error.hpp"

#include <algorithm>
#include <charconv>

namespace teaselwalk::callers {
namespace {

constexpr size_t MaxRequestIdBytes = 64;
// A job id can contain a request id and a prefix.
constexpr size_t MaxJobIdBytes = 128;
constexpr std::string_view JobPrefix = "/v1/jobs/";

bool isIdByte(char Byte) {
  return (Byte >= 'a' && Byte <= 'z') || (Byte >= 'A' && Byte <= 'Z') ||
         (Byte >= '0' && Byte <= '9') || Byte == '.' || Byte == '_' ||
         Byte == '-';
}

void appendHex(std::string &Out, uint64_t Value) {
  for (int Shift = 60; Shift >= 0; Shift -= 4)
    Out += "0123456789abcdef"[(Value >> Shift) & 15];
}

} // namespace

bool isPlainId(std::string_view Text, size_t MaxBytes) {
  return !Text.empty() && Text.size() <= MaxBytes &&
         std::all_of(Text.begin(), Text.end(), isIdByte);
}

RequestId requestIdOf(const http::Request &Message, std::mt19937_64 &Random) {
  if (Message.RequestId.empty()) {
    std::string Made;
    appendHex(Made, Random());
    appendHex(Made, Random());
    return RequestId(std::move(Made));
  }
  if (!isPlainId(Message.RequestId, MaxRequestIdBytes))
    throw InvalidInput("X-Request-Id",
                       "must be 1 to 64 characters of A-Za-z0-9._-");
  return RequestId(Message.RequestId);
}

JobId jobIdOf(const http::Request &Message) {
  std::string Path = http::pathOf(Message);
  std::string_view Text = std::string_view(Path).substr(JobPrefix.size());
  if (!isPlainId(Text, MaxJobIdBytes))
    throw InvalidInput("job", "must be 1 to 128 characters of A-Za-z0-9._-");
  return JobId(std::string(Text));
}

uint64_t numberOf(const http::Request &Message, const std::string &Name,
                  uint64_t Default) {
  auto Text = http::queryOf(Message, Name);
  if (!Text)
    return Default;
  uint64_t Value = 0;
  const char *End = Text->data() + Text->size();
  auto Parsed = std::from_chars(Text->data(), End, Value);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    throw InvalidInput(Name, "must be a number from 0 to 18446744073709551615");
  return Value;
}

} // namespace teaselwalk::callers
