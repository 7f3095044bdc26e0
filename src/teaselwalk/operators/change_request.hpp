#pragma once

#include "teaselwalk/operators/backend.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

/// The way of a change from an operator to the backend, shared by the JSON API
/// and the console.
namespace teaselwalk::operators {

struct ChangeRequest {
  std::optional<uint64_t> Base; ///< Revision that the edit started from.
  config::Document Wanted;
  std::string Who;
  std::string Why;
  std::string Confirm; ///< What the operator typed.
};

/// Why a change was not made, or that it was.
enum class ChangeState {
  Accepted,
  Unchanged,        ///< The wanted document is in force already.
  NeedsConfirm,     ///< Dangerous, and `Confirm` is not the confirmation.
  Conflict,         ///< The base is not the newest revision.
  Unknown,          ///< May have been made.
  StoreUnavailable, ///< Surely not made.
};

/// What became of a change.
struct ChangeOutcome {
  ChangeState State = ChangeState::StoreUnavailable;
  uint64_t Revision = 0; ///< Now in force, or for Conflict the newest.
  std::vector<config::Difference> Changes; ///< For Conflict: what came first.
  std::string Confirmation;
};

using ChangeCallback = std::function<void(ChangeOutcome)>;

/// Compares with \p Current without changing anything: Conflict, Unchanged, or
/// NeedsConfirm with the differences and a confirmation that may be empty.
ChangeOutcome draft(const CurrentConfig &Current, const ChangeRequest &Wanted,
                    const config::RunningUsage &Running);

/// Proposes the change. Throws `InvalidInput` for a bad reason or name; then
/// and for every outcome known before the proposal \p Done is called at once.
void apply(ConfigBackend &Backend, const CurrentConfig &Current,
           const ChangeRequest &Wanted, int64_t NowMs,
           const ChangeCallback &Done);

/// The changes after revision \p Base in words: who, why and where.
std::vector<config::Difference> changesSince(const config::HeadRecord &Head,
                                             uint64_t Base);

} // namespace teaselwalk::operators
