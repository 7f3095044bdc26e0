#pragma once

#include "teaselwalk/fakes/faults.hpp"
#include "teaselwalk/fakes/store_model.hpp"

#include <string>
#include <vector>

namespace teaselwalk::fakes {

/// `StoreModel` behind HTTP. Also serves `/faults` and `GET /counts`.
class FakeStore {
public:
  /// Listens at once. Must outlive the host's run.
  FakeStore(HttpHost &Host, const std::string &Ip, uint16_t Port);

  uint16_t port() const { return Port; }

  // Only on the host's thread, or while it does not run.
  StoreModel &model() { return Model; }
  FaultGate &gate() { return Gate; }

private:
  struct Watch {
    std::string Prefix;
    protocol::StoreVersion After = 0;
    TimePoint Until;
    Reply Answer;
  };

  void onRequest(http::Request Message, Reply Answer);
  void handle(const http::Request &Message, Reply Answer);
  void watch(const http::Request &Message, Reply Answer);
  void answerWatches();
  void tick();

  HttpHost &Host;
  StoreModel Model;
  FaultGate Gate;
  HttpHost::Handler Handle;
  std::vector<Watch> Watches;
  bool Ticking = false;
  uint16_t Port = 0;
};

} // namespace teaselwalk::fakes
