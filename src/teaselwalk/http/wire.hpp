#pragma once

#include "teaselwalk/http/message.hpp"
#include "teaselwalk/protocol/vm.hpp"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace teaselwalk::http {

/// Head and body of \p Message as sent to \p Peer, which keeps the connection
/// open.
std::string encodeRequest(const protocol::Address &Peer,
                          const Request &Message);

/// Reads one response, of which the bytes may arrive in any pieces.
class ResponseReader {
public:
  enum class Progress { Incomplete, Complete, Malformed };

  /// Drops what was read and expects a new response.
  void reset(size_t MaxBodyBytes);

  /// Takes the next bytes. After Complete or Malformed only `reset()` and, if
  /// complete, `take()` may follow.
  Progress feed(std::string_view Bytes);

  /// The peer sends nothing further.
  Progress finish();

  Response take();

  /// The connection may carry a further request.
  bool keepsAlive() const { return KeepAlive; }

private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void expectResponse();
  /// False if the body is too long or in an encoding that is not supported.
  bool hasUsableBody() const;
  Progress complete(std::string_view Rest);

  size_t MaxBodyBytes = 0;
  std::string Pending; ///< Bytes that the parser could not use yet.
  std::unique_ptr<Parser> Current;
  bool KeepAlive = true;
};

} // namespace teaselwalk::http
