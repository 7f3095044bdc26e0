#pragma once

#include "teaselwalk/config/access.hpp"
#include "teaselwalk/operators/operator_api.hpp"

#include <map>
#include <optional>
#include <string>

namespace teaselwalk::operators {

/// Sessions of the console. A session stands for a credential, so that pages do
/// not contain the credential itself. It travels in a field of every form and
/// not in a cookie; other sites therefore cannot send it.
class Sessions {
public:
  explicit Sessions(const OperatorOptions &Options) : Options(Options) {}

  /// A new session for the operator of \p Credential, or nothing.
  std::optional<std::string> begin(const config::Document &In,
                                   const std::string &Credential);

  /// The operator of session \p RequestToken. Nothing if it is unknown, too
  /// old, or if the operator was removed or has another credential since.
  std::optional<std::string> find(const config::Document &In,
                                  const std::string &Token);

private:
  struct Session {
    std::string Operator;
    std::string Hash; ///< Of the credential, to notice a new one.
    int64_t LastUseMs = 0;
  };

  void makeRoom();

  const OperatorOptions &Options;
  std::map<std::string, Session> Open; ///< By SHA-256 of the token.
};

} // namespace teaselwalk::operators
