#include "teaselwalk/fakes/fake_vm_list.hpp"

#include "store_http.hpp"

#include "teaselwalk/base/error.hpp"
#include "teaselwalk/protocol/vm_json.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace teaselwalk::fakes {
namespace {

constexpr uint64_t MaxLagMs = 600000;

} // namespace

FakeVmList::FakeVmList(HttpHost &Host, const std::string &Ip, uint16_t Port)
    : Host(Host), Gate(Host),
      Handle([this](const http::Request &Message, Reply Answer) {
        if (Gate.faults().FailAll)
          return Answer.send({500, R"({"error":"internal error"})"});
        if (Message.Method != "GET" || http::pathOf(Message) != "/vms")
          return Answer.send(notTaken(404, "no such path"));
        Answer.send({200, nlohmann::json(Rows).dump()});
      }) {
  this->Port =
      Host.listen(Ip, Port, [this](http::Request Message, Reply Answer) {
        onRequest(std::move(Message), std::move(Answer));
      });
}

void FakeVmList::onRequest(http::Request Message, Reply Answer) {
  if (Gate.serve(Message, Answer))
    return;
  if (Message.Method == "PUT" && http::pathOf(Message) == "/vms")
    return replace(Message, Answer);
  Gate.pass(std::move(Message), std::move(Answer), Handle);
}

void FakeVmList::replace(const http::Request &Message, Reply &Answer) {
  try {
    auto Next = protocol::parseVms(Message.Body);
    Duration Lag(
        static_cast<int64_t>(numberOf(Message, "lag_ms", 0, MaxLagMs)));
    if (Lag == Duration(0))
      Rows = std::move(Next);
    else
      Host.after(Lag, [this, Next = std::move(Next)] { Rows = Next; });
    Answer.send({200, "{}"});
  } catch (const InvalidInput &Failure) {
    Answer.send(notTaken(400, Failure.what()));
  }
}

} // namespace teaselwalk::fakes
