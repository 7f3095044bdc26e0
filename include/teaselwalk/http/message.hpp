#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace teaselwalk::http {

/// A request as a handler sees it or a client sends it.
struct Request {
  std::string Method = "GET";
  std::string Target = "/"; ///< Path and query, such as `/kv/a?version=1`.
  std::string Body;
  std::string Bearer;    ///< Credential of the `Authorization` header.
  std::string RequestId; ///< `X-Request-Id`, empty if absent.
  /// Sent: further headers. Received: all headers, with `Host`.
  std::vector<std::pair<std::string, std::string>> Headers;
};

/// The value of the first header \p Name (any case), or "" if absent.
std::string headerOf(const Request &Message, const std::string &Name);

/// The target without its query.
std::string pathOf(const Request &Message);

/// The percent-decoded value of query parameter \p Name.
std::optional<std::string> queryOf(const Request &Message,
                                   const std::string &Name);

/// \p Text with every byte outside `A-Za-z0-9-._~/` percent-encoded.
std::string percentEncode(const std::string &Text);

/// The reverse of `percentEncode`. A malformed escape stays as it is.
std::string percentDecode(const std::string &Text);

struct Response {
  int Status = 200;
  std::string Body;
  std::string ContentType = "application/json";
  int RetryAfterSeconds = 0; ///< Sent as `Retry-After` when above 0.
};

} // namespace teaselwalk::http
