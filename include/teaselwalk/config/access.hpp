#pragma once

#include "teaselwalk/config/document.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Keys of teams and credentials of operators. The text of a key is
/// `<key id>.<secret>`; that of a credential is `<operator>.<secret>`.
namespace teaselwalk::config {

/// SHA-256 of \p Text in lower-case hexadecimal.
std::string sha256Hex(std::string_view Text);

/// True if \p Secret is the one that \p Expected was made from. The time taken
/// does not depend on where the hashes differ.
bool matches(const SecretHash &Expected, std::string_view Secret);

/// The team whose key is \p KeyText.
std::optional<TeamId> authenticate(const Document &In,
                                   std::string_view KeyText);

/// The operator whose credential is \p Credential.
std::optional<std::string> authenticateOperator(const Document &In,
                                                std::string_view Credential);

/// True if \p Team may submit to \p Queue. Everyone may use an open queue.
bool mayUse(const Document &In, const TeamId &Team, const QueueId &Queue);

/// The team that is charged for work of \p Caller (nothing without a key) in
/// \p Queue, or nothing if the caller may not use it.
std::optional<TeamId> chargedTeam(const Document &In, const QueueId &Queue,
                                  const std::optional<TeamId> &Caller);

/// Random bytes that `makeSecret` needs: 16 for the salt, 32 for the secret.
constexpr size_t SecretRandomBytes = 48;

/// A new secret. `Text` is shown once; only `Stored` goes into the document.
struct NewSecret {
  std::string Text;
  SecretHash Stored;
};

/// Makes the text `<Name>.<secret>` and its hash. Throws `Error` unless there
/// are `SecretRandomBytes` random bytes.
NewSecret makeSecret(const std::string &Name,
                     const std::vector<uint8_t> &RandomBytes);

struct NewKey {
  std::string Text;
  TeamKey Stored;
};

/// As `makeSecret`, for a key of a team.
NewKey makeKey(const KeyId &Id, const std::vector<uint8_t> &RandomBytes);

} // namespace teaselwalk::config
