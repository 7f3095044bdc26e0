#pragma once

#include "teaselwalk/base/time.hpp"
#include "teaselwalk/cli/command.hpp"
#include "teaselwalk/http/client.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

/// What the commands that talk to a process share.
namespace teaselwalk::cli {

/// The whole file. Throws `Error` if it cannot be read.
std::string readFile(const std::string &Path);

/// The text of option \p Name, or nothing if it was not given.
std::optional<std::string> optionOf(const Arguments &Args, const char *Name);

/// The value of option \p Name as IP:PORT. Throws `InvalidInput`.
protocol::Address addressOf(const Arguments &Args, const char *Name);

/// The value of option \p Name as a number of milliseconds from 1 to 3,600,000,
/// or \p Default. Throws `InvalidInput`.
Duration durationOf(const Arguments &Args, const char *Name, Duration Default);

/// The key or credential in the file that option \p Name names, or an empty
/// text without the option. Throws `Error` if there is not exactly one line.
std::string secretOf(const Arguments &Args, const char *Name);

/// The body as JSON; null if it is no JSON.
nlohmann::json bodyOf(const http::Response &Answer);

/// The text of member \p Name of \p Object, or an empty text.
std::string textOf(const nlohmann::json &Object, const char *Name);

/// "HTTP 503: <error>" or the body's beginning if it has no `error`.
std::string reasonOf(const http::Response &Answer);

/// What is known about a request without an answer, for people.
std::string withoutAnswer(protocol::Delivery State,
                          const protocol::Address &Server);

} // namespace teaselwalk::cli
