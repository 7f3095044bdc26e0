#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace teaselwalk {
namespace jsonrpc {

/// Runs the methods that a JSON-RPC 2.0 request or batch calls. Not
/// thread-safe.
class Dispatcher {
public:
  /// Takes the parameters and returns the result, each a JSON object as text. A
  /// `std::exception` becomes an "invalid parameters" error with its message.
  using Method = std::function<std::string(const std::string &Params)>;

  explicit Dispatcher(std::map<std::string, Method> Methods);
  ~Dispatcher();
  Dispatcher(const Dispatcher &) = delete;
  Dispatcher &operator=(const Dispatcher &) = delete;

  /// Returns the response to \p Request. Never throws: text that cannot be
  /// parsed gets an error response.
  std::string handle(const std::string &Request);

private:
  class Impl;
  std::unique_ptr<Impl> State;
};

} // namespace jsonrpc
} // namespace teaselwalk
