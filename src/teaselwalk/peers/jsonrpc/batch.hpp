#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

/// Plain interface to libjsonrpccpp: JSON text in, JSON text out.
namespace teaselwalk {
namespace jsonrpc {

/// What a response says about one call of a batch.
struct Reply {
  enum class Kind {
    Result,  ///< `Text` is the result as JSON text, an object.
    Error,   ///< The method did not run; `Text` is the message.
    Missing, ///< The response does not mention the call.
  };
  Kind State = Kind::Missing;
  std::string Text;
};

/// The text of one JSON-RPC 2.0 batch request.
class Batch {
public:
  Batch();
  ~Batch();
  Batch(const Batch &) = delete;
  Batch &operator=(const Batch &) = delete;

  /// \p Params is a JSON object. Throws `std::runtime_error` if it is not.
  void add(const std::string &Method, const std::string &Params);
  size_t size() const;
  std::string text() const;

private:
  class Impl;
  std::unique_ptr<Impl> State;
};

/// The replies to a batch of \p Count calls, in their order. Never throws:
/// malformed text yields replies that are Missing.
std::vector<Reply> decodeReplies(const std::string &Response, size_t Count);

} // namespace jsonrpc
} // namespace teaselwalk
