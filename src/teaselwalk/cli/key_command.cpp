#include "teaselwalk/base/error.hpp"
#include "teaselwalk/config/access.hpp"
#include "teaselwalk/operators/system.hpp"

#include "command_rows.hpp"
#include "remote.hpp"

#include <algorithm>
#include <iostream>

namespace teaselwalk::cli {
namespace {

constexpr const char *Usage =
    R"(Makes a key of a team or a credential of an operator.

Usage:
  teaselwalk key [--operator] NAME
  teaselwalk key --help

Options:
  --operator  Make a credential; NAME is the operator's name. Otherwise NAME is
              the id of the key.

The first line of the output is the secret, which is shown only here. The second
is the JSON for "keys" of a team or for "operators" in the document.)";

bool isName(const std::string &Text) {
  return !Text.empty() && Text.size() <= 64 &&
         std::all_of(Text.begin(), Text.end(), [](char Byte) {
           return (Byte >= 'a' && Byte <= 'z') ||
                  (Byte >= 'A' && Byte <= 'Z') ||
                  (Byte >= '0' && Byte <= '9') || Byte == '-' || Byte == '_';
         });
}

int run(const Arguments &Args) {
  std::string Name = *optionOf(Args, "NAME");
  if (!isName(Name))
    throw InvalidInput("NAME", "must be 1 to 64 letters, digits, '-' and '_'");
  bool ForOperator = Args.at("--operator").asBool();
  config::NewSecret Made = config::makeSecret(
      Name, operators::secureRandomBytes(config::SecretRandomBytes));
  nlohmann::json Row = {{ForOperator ? "name" : "id", Name},
                        {"salt", Made.Stored.Salt},
                        {"hash", Made.Stored.Hash}};
  std::cout << Made.Text << '\n' << Row.dump() << '\n';
  return ExitOk;
}

} // namespace

const Command KeyCommand = {"key", Usage, run};

} // namespace teaselwalk::cli
