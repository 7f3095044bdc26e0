#include "teaselwalk/engine/durable_write.hpp"

#include <utility>

namespace teaselwalk::engine {
namespace {

using protocol::StoreOperation;
using protocol::StoreReply;
using protocol::StoreRequest;
using protocol::StoreStatus;

/// The outcome of a write after its key was read back. \p WasLost means that
/// the write had no answer.
WriteResult outcomeAfterReadBack(const StoreReply &Read,
                                 const std::string &Value,
                                 protocol::StoreVersion Expected,
                                 bool WasLost) {
  bool Known =
      Read.Status == StoreStatus::Ok || Read.Status == StoreStatus::NotFound;
  if (!Known)
    return {WriteOutcome::Unknown, 0, {}};
  if (Read.Status == StoreStatus::Ok && Read.Value == Value)
    return {WriteOutcome::Applied, Read.Version, {}};
  protocol::StoreVersion Present =
      Read.Status == StoreStatus::Ok ? Read.Version : 0;
  // A write without an answer whose precondition still holds may arrive late.
  if (WasLost && Present == Expected)
    return {WriteOutcome::Unknown, Present, {}};
  return {WriteOutcome::Conflict, Present, Read.Value};
}

} // namespace

void writeDurably(CommandDispatcher &Commands, const std::string &Key,
                  const std::string &Value, protocol::StoreVersion Expected,
                  Duration Timeout,
                  std::function<void(const WriteResult &, TimePoint)> Then) {
  StoreRequest Write;
  Write.Operation = StoreOperation::Write;
  Write.Key = Key;
  Write.Value = Value;
  Write.Expected = Expected;
  Commands.callStore(
      std::move(Write), Timeout,
      [&Commands, Key, Value, Expected, Timeout,
       Then = std::move(Then)](const StoreReply &Reply, TimePoint Now) {
        if (Reply.Status == StoreStatus::Ok)
          return Then({WriteOutcome::Applied, Reply.Version, {}}, Now);
        bool WasLost = Reply.Status == StoreStatus::Lost;
        if (!WasLost && Reply.Status != StoreStatus::Conflict)
          return Then({WriteOutcome::NotApplied, 0, {}}, Now);
        StoreRequest Read;
        Read.Key = Key;
        Commands.callStore(
            std::move(Read), Timeout,
            [Value, Expected, WasLost, Then](const StoreReply &Found,
                                             TimePoint Later) {
              Then(outcomeAfterReadBack(Found, Value, Expected, WasLost),
                   Later);
            });
      });
}

} // namespace teaselwalk::engine
