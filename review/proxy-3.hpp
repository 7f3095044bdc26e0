#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>

namespace review {

/// Forwards TCP connections. Works on a thread of its own.
class Proxy {
public:
  /// Listens on a free port of \p Ip and forwards to \p TargetPort there.
  Proxy(const std::string &Ip, uint16_t TargetPort);
  ~Proxy();

  uint16_t port() const;
  /// From now on nothing passes on the connections that are open. They stay
  /// open; new ones work.
  void silence();

private:
  class Impl;
  std::unique_ptr<Impl> State;
  std::thread Thread;
};

} // namespace review
