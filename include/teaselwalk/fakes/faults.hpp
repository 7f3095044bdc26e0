#pragma once

#include "teaselwalk/fakes/http_host.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <utility>
#include <vector>

namespace teaselwalk::fakes {

/// Fault switches of a fake, all off by default.
struct Faults {
  bool Down = false;        ///< Answers 503 "not run", without effect.
  bool Closed = false;      ///< Closes connections, without effect.
  bool LoseAnswers = false; ///< Takes effect, then closes the connection.
  bool Freeze = false;      ///< Keeps requests until the switch is off again.
  bool FailAll = false;     ///< Endpoint: every task fails. Others: 500.
  bool Plain = false;       ///< Endpoint: without the extensions.
  Duration Slow{0};         ///< Delay before a request takes effect.
};

void to_json(nlohmann::json &Json, const Faults &Value);

/// Reads `{"down":true,"slow_ms":20}`; absent switches are off. Throws
/// `InvalidInput` for unknown fields and wrong types.
Faults parseFaults(const std::string &Body);

/// Applies the fault switches between a host and a fake, and serves
/// `GET /faults` and `PUT /faults`.
class FaultGate {
public:
  explicit FaultGate(HttpHost &Host) : Host(Host) {}

  /// Calls \p Handle now, later or never. \p Handle must outlive the host's
  /// run.
  void pass(http::Request Message, Reply Answer,
            const HttpHost::Handler &Handle);

  /// Serves the switches; false if the request is not about them.
  bool serve(const http::Request &Message, Reply &Answer);

  const Faults &faults() const { return Switches; }
  void set(const Faults &Value);

private:
  struct Held {
    http::Request Message;
    Reply Answer;
    const HttpHost::Handler *Handle;
  };

  HttpHost &Host;
  Faults Switches;
  std::vector<Held> Frozen;
};

/// A 4xx or 5xx answer that says that the request had no effect.
http::Response notTaken(int Status, const std::string &Why);

} // namespace teaselwalk::fakes
