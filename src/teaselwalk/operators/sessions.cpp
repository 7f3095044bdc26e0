#include "sessions.hpp"

#include <algorithm>

namespace teaselwalk::operators {
namespace {

constexpr size_t TokenBytes = 32;

/// The hash of the stored credential of \p Name, or an empty text.
std::string credentialHash(const config::Document &In,
                           const std::string &Name) {
  for (const config::Operator &Row : In.Operators)
    if (Row.Name == Name)
      return Row.Secret.Hash;
  return {};
}

} // namespace

std::optional<std::string> Sessions::begin(const config::Document &In,
                                           const std::string &Credential) {
  auto Name = config::authenticateOperator(In, Credential);
  if (!Name)
    return std::nullopt;
  makeRoom();
  std::vector<uint8_t> Random = Options.RandomBytes(TokenBytes);
  std::string Token = config::sha256Hex(
      {reinterpret_cast<const char *>(Random.data()), Random.size()});
  // Looked up by its hash, so that a comparison byte by byte tells nothing
  // about the token.
  Open[config::sha256Hex(Token)] = {*Name, credentialHash(In, *Name),
                                    Options.WallClockMs()};
  return Token;
}

std::optional<std::string> Sessions::find(const config::Document &In,
                                          const std::string &Token) {
  auto Found = Open.find(config::sha256Hex(Token));
  if (Found == Open.end())
    return std::nullopt;
  Session &Row = Found->second;
  int64_t Now = Options.WallClockMs();
  bool Valid = Now - Row.LastUseMs <= Options.SessionLength.count() &&
               credentialHash(In, Row.Operator) == Row.Hash;
  if (!Valid) {
    Open.erase(Found);
    return std::nullopt;
  }
  Row.LastUseMs = Now;
  return Row.Operator;
}

void Sessions::makeRoom() {
  while (!Open.empty() && Open.size() >= Options.MaxSessions)
    Open.erase(std::min_element(
        Open.begin(), Open.end(), [](const auto &A, const auto &B) {
          return A.second.LastUseMs < B.second.LastUseMs;
        }));
}

} // namespace teaselwalk::operators
