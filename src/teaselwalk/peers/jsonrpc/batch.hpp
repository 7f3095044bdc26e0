#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

/// Wrapper around libjsonrpccpp. Its interface passes JSON only as text, so
/// that the headers of the library are not included elsewhere.
namespace teaselwalk {
namespace jsonrpc {

/// The part of a response that answers one call of a batch.
struct Reply {
  enum class Kind {
    Result,  ///< `Text` is the result, a JSON object as text.
    Error,   ///< The call was rejected or failed; `Text` is the error message.
    Missing, ///< The response has no valid entry for the call.
  };
  Kind State = Kind::Missing;
  std::string Text;
};

/// Builds a JSON-RPC 2.0 batch request.
class Batch {
public:
  Batch();
  ~Batch();
  Batch(const Batch &) = delete;
  Batch &operator=(const Batch &) = delete;

  /// Appends a call. Throws `std::runtime_error` if \p Params is not a JSON
  /// object.
  void add(const std::string &Method, const std::string &Params);
  size_t size() const;
  std::string text() const;

private:
  class Impl;
  std::unique_ptr<Impl> State;
};

/// Returns the replies to a batch of \p Count calls, in the order of the calls.
/// Never throws: calls without a valid reply in \p Response are Missing.
std::vector<Reply> decodeReplies(const std::string &Response, size_t Count);

} // namespace jsonrpc
} // namespace teaselwalk
