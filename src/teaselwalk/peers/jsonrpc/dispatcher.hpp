#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace teaselwalk {
namespace jsonrpc {

/// Runs the methods that a JSON-RPC 2.0 request or batch names. Not
/// thread-safe.
class Dispatcher {
public:
  /// Takes the parameters and returns the result, both a JSON object as text.
  /// An exception becomes an "invalid parameters" error with its text.
  using Method = std::function<std::string(const std::string &Params)>;

  explicit Dispatcher(std::map<std::string, Method> Methods);
  ~Dispatcher();
  Dispatcher(const Dispatcher &) = delete;
  Dispatcher &operator=(const Dispatcher &) = delete;

  /// The response to \p Request. Never throws; any text is answered.
  std::string handle(const std::string &Request);

private:
  class Impl;
  std::unique_ptr<Impl> State;
};

} // namespace jsonrpc
} // namespace teaselwalk
