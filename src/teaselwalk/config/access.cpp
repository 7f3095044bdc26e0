#include "teaselwalk/config/access.hpp"

#include "teaselwalk/base/error.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <algorithm>
#include <array>

namespace teaselwalk::config {
namespace {

constexpr size_t SaltBytes = 16;

std::string hexOf(const uint8_t *Bytes, size_t Count) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Out;
  Out.reserve(Count * 2);
  for (size_t I = 0; I < Count; ++I) {
    Out += Digits[Bytes[I] >> 4];
    Out += Digits[Bytes[I] & 15];
  }
  return Out;
}

std::string saltedHash(const std::string &Salt, std::string_view Secret) {
  return sha256Hex(Salt + std::string(Secret));
}

/// The parts of `<name>.<secret>`; both empty if there is no dot.
std::pair<std::string, std::string_view> splitAtDot(std::string_view Text) {
  size_t Dot = Text.find('.');
  if (Dot == std::string_view::npos)
    return {};
  return {std::string(Text.substr(0, Dot)), Text.substr(Dot + 1)};
}

} // namespace

std::string sha256Hex(std::string_view Text) {
  std::array<uint8_t, EVP_MAX_MD_SIZE> Hash{};
  unsigned Length = 0;
  if (EVP_Digest(Text.data(), Text.size(), Hash.data(), &Length, EVP_sha256(),
                 nullptr) != 1)
    throw Error("SHA-256 is not available");
  return hexOf(Hash.data(), Length);
}

bool matches(const SecretHash &Expected, std::string_view Secret) {
  std::string Hash = saltedHash(Expected.Salt, Secret);
  return Hash.size() == Expected.Hash.size() &&
         CRYPTO_memcmp(Hash.data(), Expected.Hash.data(), Hash.size()) == 0;
}

std::optional<TeamId> authenticate(const Document &In,
                                   std::string_view KeyText) {
  auto [Id, Secret] = splitAtDot(KeyText);
  auto Found = In.KeyIndex.find(KeyId(Id));
  if (Found == In.KeyIndex.end())
    return std::nullopt;
  const KeyPlace &Place = Found->second;
  if (Place.Team >= In.Teams.size() ||
      Place.Key >= In.Teams[Place.Team].Keys.size())
    return std::nullopt;
  const Team &Owner = In.Teams[Place.Team];
  const TeamKey &Key = Owner.Keys[Place.Key];
  if (Key.Id != Found->first || !matches(Key.Secret, Secret))
    return std::nullopt;
  return Owner.Name;
}

std::optional<std::string> authenticateOperator(const Document &In,
                                                std::string_view Credential) {
  auto [Name, Secret] = splitAtDot(Credential);
  for (const Operator &Row : In.Operators)
    if (Row.Name == Name && matches(Row.Secret, Secret))
      return Row.Name;
  return std::nullopt;
}

bool mayUse(const Document &In, const TeamId &Team, const QueueId &Queue) {
  return chargedTeam(In, Queue, Team).has_value();
}

std::optional<TeamId> chargedTeam(const Document &In, const QueueId &Queue,
                                  const std::optional<TeamId> &Caller) {
  const config::Queue *Found = findQueue(In, Queue);
  if (!Found || Found->Teams.empty())
    return std::nullopt;
  if (Found->Access == QueueAccess::Open)
    return Found->Teams.front();
  if (!Caller || std::find(Found->Teams.begin(), Found->Teams.end(), *Caller) ==
                     Found->Teams.end())
    return std::nullopt;
  return Caller;
}

NewSecret makeSecret(const std::string &Name,
                     const std::vector<uint8_t> &RandomBytes) {
  if (RandomBytes.size() != SecretRandomBytes)
    throw Error("a secret needs " + std::to_string(SecretRandomBytes) +
                " random bytes, got " + std::to_string(RandomBytes.size()));
  std::string Salt = hexOf(RandomBytes.data(), SaltBytes);
  std::string Secret =
      hexOf(RandomBytes.data() + SaltBytes, SecretRandomBytes - SaltBytes);
  return {Name + "." + Secret, {Salt, saltedHash(Salt, Secret)}};
}

NewKey makeKey(const KeyId &Id, const std::vector<uint8_t> &RandomBytes) {
  NewSecret Made = makeSecret(Id.str(), RandomBytes);
  return {Made.Text, {Id, Made.Stored}};
}

} // namespace teaselwalk::config
