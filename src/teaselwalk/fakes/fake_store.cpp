#include "teaselwalk/fakes/fake_store.hpp"

#include "store_http.hpp"

#include "teaselwalk/base/error.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace teaselwalk::fakes {
namespace {

using nlohmann::json;

constexpr Duration WatchTick{10};
constexpr uint64_t MaxWatchMs = 60000;

http::Response changesAnswer(const std::vector<StoreChange> &Changes,
                             protocol::StoreVersion Version) {
  json Keys = json::array();
  for (const StoreChange &Row : Changes)
    Keys.push_back({{"key", Row.Key}, {"version", Row.Version}});
  return {200, json({{"version", Version}, {"keys", std::move(Keys)}}).dump()};
}

http::Response countsAnswer(const StoreCounts &Counts) {
  return {200, json({{"calls", Counts.Calls},
                     {"reads", Counts.Reads},
                     {"writes", Counts.Writes},
                     {"bytes_in", Counts.BytesIn},
                     {"bytes_out", Counts.BytesOut}})
                   .dump()};
}

} // namespace

FakeStore::FakeStore(HttpHost &Host, const std::string &Ip, uint16_t Port)
    : Host(Host), Gate(Host),
      Handle([this](const http::Request &Message, Reply Answer) {
        handle(Message, std::move(Answer));
      }) {
  this->Port =
      Host.listen(Ip, Port, [this](http::Request Message, Reply Answer) {
        onRequest(std::move(Message), std::move(Answer));
      });
}

void FakeStore::onRequest(http::Request Message, Reply Answer) {
  if (Gate.serve(Message, Answer))
    return;
  if (http::pathOf(Message) == "/counts")
    return Answer.send(countsAnswer(Model.counts()));
  Gate.pass(std::move(Message), std::move(Answer), Handle);
}

void FakeStore::handle(const http::Request &Message, Reply Answer) {
  if (Gate.faults().FailAll)
    return Answer.send({500, R"({"error":"internal error"})"});
  try {
    if (http::pathOf(Message) == "/watch")
      return watch(Message, std::move(Answer));
    protocol::StoreRequest Call = toStoreRequest(Message);
    protocol::StoreReply Done = Model.apply(Call, Host.now());
    Answer.send(toHttp(Call, Done));
    answerWatches();
  } catch (const InvalidInput &Failure) {
    Answer.send(notTaken(400, Failure.what()));
  }
}

void FakeStore::watch(const http::Request &Message, Reply Answer) {
  std::string Prefix = http::queryOf(Message, "prefix").value_or("");
  uint64_t After = numberOf(Message, "after", 0, UINT64_MAX);
  uint64_t WaitMs = numberOf(Message, "wait_ms", 0, MaxWatchMs);
  auto Changes = Model.changesAfter(Prefix, After, Host.now());
  if (!Changes.empty() || WaitMs == 0)
    return Answer.send(changesAnswer(Changes, Model.version()));
  Watches.push_back({Prefix, After,
                     Host.now() + Duration(static_cast<int64_t>(WaitMs)),
                     std::move(Answer)});
  if (!std::exchange(Ticking, true))
    tick();
}

void FakeStore::answerWatches() {
  TimePoint Now = Host.now();
  Model.expire(Now);
  std::vector<Watch> Kept;
  for (Watch &Row : Watches) {
    auto Changes = Model.peekChanges(Row.Prefix, Row.After);
    if (Changes.empty() && Row.Until > Now)
      Kept.push_back(std::move(Row));
    else
      Row.Answer.send(changesAnswer(Changes, Model.version()));
  }
  Watches.swap(Kept);
}

/// Finds the ends of waits and of leases while a watch is waiting.
void FakeStore::tick() {
  answerWatches();
  Ticking = !Watches.empty();
  if (Ticking)
    Host.after(WatchTick, [this] { tick(); });
}

} // namespace teaselwalk::fakes
