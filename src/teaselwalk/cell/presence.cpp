#include "teaselwalk/cell/presence.hpp"

#include "teaselwalk/base/error.hpp"

#include <nlohmann/json.hpp>

namespace teaselwalk::cell {
namespace {

constexpr Duration PresenceLease{3000};
/// Much shorter than the lease, so that an unreachable store is noticed early.
/// A renewal costs the store only a tenth of a read.
constexpr Duration RenewInterval{300};
constexpr Duration RenewTimeout{400};
constexpr Duration RetryPause{300};
constexpr Duration CallTimeout{700};

} // namespace

void Presence::later(Duration Delay, void (Presence::*Step)()) {
  Clock.after(Delay, [this, Step, Token = std::weak_ptr<char>(Alive)] {
    if (!Token.expired() && !Stopped)
      (this->*Step)();
  });
}

void Presence::grant() {
  Target.grantLease(
      PresenceLease, CallTimeout,
      [this, Token = std::weak_ptr<char>(Alive)](const LeaseResult &Result) {
        if (Token.expired() || Stopped)
          return;
        if (Result.Outcome != StoreOutcome::Done)
          return later(RetryPause, &Presence::grant);
        TakenAt = Clock.now();
        write(Result.LeaseId);
      });
}

void Presence::write(int64_t NewLease) {
  StoreTransaction Change;
  Change.Puts = {{Key, Value, NewLease}};
  Target.commit(Change, CallTimeout,
                [this, NewLease, Token = std::weak_ptr<char>(Alive)](
                    const CommitResult &Result) {
                  if (Token.expired() || Stopped)
                    return;
                  // After a write without an answer this registers again
                  // under a new lease.
                  if (Result.Outcome != StoreOutcome::Done)
                    return later(RetryPause, &Presence::grant);
                  Lease = NewLease;
                  later(RenewInterval, &Presence::renew);
                });
}

void Presence::renew() {
  Target.renewLease(
      Lease, RenewTimeout,
      [this, Token = std::weak_ptr<char>(Alive)](const LeaseResult &Result) {
        if (Token.expired() || Stopped)
          return;
        if (Result.Outcome == StoreOutcome::NotFound)
          return grant();
        if (Result.Outcome == StoreOutcome::Done)
          TakenAt = Clock.now();
        later(RenewInterval, &Presence::renew);
      });
}

void Presence::stop() {
  Stopped = true;
  if (Lease != 0)
    Target.endLease(Lease, CallTimeout, [](const LeaseResult &) {});
}

PresenceRecord PresenceRecord::decode(const std::string &Text) {
  try {
    nlohmann::json Document = nlohmann::json::parse(Text);
    return {{Document.at("ip"), Document.at("port")}, Document.at("strength")};
  } catch (const nlohmann::json::exception &Failure) {
    throw Error(std::string("process record: ") + Failure.what());
  }
}

std::optional<PresenceRecord> readPresence(const StoreItem &Item,
                                           Recorder &Log) {
  try {
    return PresenceRecord::decode(Item.Value);
  } catch (const Error &Failure) {
    Log.event(EventName::RecordMalformed,
              {{"key", Item.Key}, {"reason", Failure.what()}});
    return std::nullopt;
  }
}

std::string PresenceRecord::encode() const {
  return nlohmann::json{
      {"ip", Address.Ip}, {"port", Address.Port}, {"strength", Strength}}
      .dump();
}

} // namespace teaselwalk::cell
