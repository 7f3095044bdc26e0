#include "teaselwalk/cell/process_registration.hpp"

#include "teaselwalk/base/error.hpp"
#include "teaselwalk/cell/record_fields.hpp"

#include <nlohmann/json.hpp>

#include <limits>

namespace teaselwalk::cell {
namespace {

constexpr Duration RegistrationLease{3000};
/// Much shorter than the lease, so that an unreachable store is noticed early.
/// A renewal costs the store only a tenth of a read.
constexpr Duration RenewInterval{300};
constexpr Duration RenewTimeout{400};
constexpr Duration RetryPause{300};
constexpr Duration CallTimeout{700};

constexpr int64_t MaxPort = std::numeric_limits<uint16_t>::max();
constexpr double MaxCores = 4096;

} // namespace

void ProcessRegistration::schedule(Duration Delay,
                                   void (ProcessRegistration::*Method)()) {
  Clock.after(Delay, [this, Method, Token = std::weak_ptr<char>(Alive)] {
    if (!Token.expired() && !IsStopped)
      (this->*Method)();
  });
}

void ProcessRegistration::requestLease() {
  Storage.grantLease(
      RegistrationLease, CallTimeout,
      [this, Token = std::weak_ptr<char>(Alive)](const LeaseResult &Result) {
        if (Token.expired() || IsStopped)
          return;
        if (Result.Outcome != StoreOutcome::Done)
          return schedule(RetryPause, &ProcessRegistration::requestLease);
        StoreReachedAt = Clock.now();
        writeRecord(Result.LeaseId);
      });
}

void ProcessRegistration::writeRecord(int64_t NewLease) {
  StoreTransaction Change;
  Change.Puts = {{Key, Value, NewLease}};
  Storage.commit(Change, CallTimeout,
                 [this, NewLease, Token = std::weak_ptr<char>(Alive)](
                     const CommitResult &Result) {
                   if (Token.expired() || IsStopped)
                     return;
                   // After a write that failed or was not answered, this
                   // registers again under a new lease.
                   if (Result.Outcome != StoreOutcome::Done)
                     return schedule(RetryPause,
                                     &ProcessRegistration::requestLease);
                   LeaseId = NewLease;
                   schedule(RenewInterval, &ProcessRegistration::renew);
                 });
}

void ProcessRegistration::renew() {
  Storage.renewLease(
      LeaseId, RenewTimeout,
      [this, Token = std::weak_ptr<char>(Alive)](const LeaseResult &Result) {
        if (Token.expired() || IsStopped)
          return;
        if (Result.Outcome == StoreOutcome::NotFound)
          return requestLease();
        if (Result.Outcome == StoreOutcome::Done)
          StoreReachedAt = Clock.now();
        schedule(RenewInterval, &ProcessRegistration::renew);
      });
}

void ProcessRegistration::stop() {
  IsStopped = true;
  if (LeaseId != 0)
    Storage.endLease(LeaseId, CallTimeout, [](const LeaseResult &) {});
}

ProcessRecord ProcessRecord::decode(const std::string &Text) {
  try {
    nlohmann::json Document = nlohmann::json::parse(Text);
    ProcessRecord Record;
    Record.Address.Ip = Document.at("ip").get<std::string>();
    Record.Address.Port =
        static_cast<uint16_t>(integerField(Document, "port", 1, MaxPort));
    Record.Cores = positiveField(Document, "strength", MaxCores);
    return Record;
  } catch (const nlohmann::json::exception &Failure) {
    throw Error(std::string("cannot read process record: ") + Failure.what());
  }
}

std::optional<ProcessRecord> readProcessRecord(const StoreItem &Item,
                                               Recorder &Log) {
  try {
    return ProcessRecord::decode(Item.Value);
  } catch (const Error &Failure) {
    Log.event(EventName::RecordMalformed,
              {{"key", Item.Key}, {"reason", Failure.what()}});
    return std::nullopt;
  }
}

std::string ProcessRecord::encode() const {
  return nlohmann::json{
      {"ip", Address.Ip}, {"port", Address.Port}, {"strength", Cores}}
      .dump();
}

} // namespace teaselwalk::cell
