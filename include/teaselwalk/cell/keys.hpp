#pragma once

#include "teaselwalk/base/id.hpp"

#include <string>

/// Keys of the product in the store. Keys are split by writer, so that the
/// conditions of different writers never collide.
namespace teaselwalk::cell {

/// Accepted jobs and cancellations, written by the process that accepts them.
constexpr const char *IntakePrefix = "teaselwalk/intake/";
constexpr const char *JobPrefix = "teaselwalk/intake/job/";
constexpr const char *CancelPrefix = "teaselwalk/intake/cancel/";
/// Progress of jobs, written only by the owner.
constexpr const char *StatePrefix = "teaselwalk/state/";
/// Records of several jobs that were written together. The mark is not part
/// of any job id.
constexpr const char *BundlePrefix = "teaselwalk/state/+";
/// Presence of the owner, under its lease.
constexpr const char *OwnerKey = "teaselwalk/owner";
/// Has no lease. Every write of an owner changes it under the condition of its
/// former revision, so that a late write of a former owner has no effect.
constexpr const char *EpochKey = "teaselwalk/guard";
/// Presence of each process, under a lease.
constexpr const char *ProcessPrefix = "teaselwalk/process/";

inline std::string jobKey(const JobId &Id) { return JobPrefix + Id.str(); }
inline std::string cancelKey(const JobId &Id) {
  return CancelPrefix + Id.str();
}
inline std::string stateKey(const JobId &Id) { return StatePrefix + Id.str(); }

} // namespace teaselwalk::cell
