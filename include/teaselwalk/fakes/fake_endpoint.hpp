#pragma once

#include "teaselwalk/fakes/endpoint_model.hpp"
#include "teaselwalk/fakes/faults.hpp"

#include <map>
#include <optional>
#include <string>
#include <utility>

namespace teaselwalk::fakes {

/// `EndpointModel` behind HTTP, with timers for the ends of its tasks. Also
/// serves `/faults`, `GET /ran` (every attempt that started), `GET /peak`
/// (largest use), `PUT /leaving` `{"leaving":true}` and `POST /crash`.
class FakeEndpoint {
public:
  /// Listens at once. Must outlive the host's run.
  FakeEndpoint(HttpHost &Host, EndpointOptions Options, const std::string &Ip,
               uint16_t Port);

  uint16_t port() const { return Port; }

  // Only on the host's thread, or while it does not run.
  EndpointModel &model() { return Model; }
  FaultGate &gate() { return Gate; }

private:
  using Key = std::pair<std::string, uint32_t>;

  void onRequest(http::Request Message, Reply Answer);
  bool serveControl(const http::Request &Message, Reply &Answer);
  void handle(const http::Request &Message, Reply Answer);
  void run(const http::Request &Message, Reply Answer);
  void applyFaults();
  void answerWaiting();
  void arm();

  HttpHost &Host;
  EndpointModel Model;
  FaultGate Gate;
  HttpHost::Handler Handle;
  std::map<Key, Reply> Waiting; ///< Quick calls whose task runs.
  std::optional<TimePoint> Armed;
  uint16_t Port = 0;
};

} // namespace teaselwalk::fakes
