#pragma once

#include "teaselwalk/base/id.hpp"

#include <string>

/// Keys of teaselwalk in the store. The processes that accept requests and the
/// owner put different keys, so that their conditional writes do not conflict.
namespace teaselwalk::cell {

/// Accepted jobs and cancellations, written by the process that accepts them
/// and removed by the owner some time after the end of the job.
constexpr const char *IntakePrefix = "teaselwalk/intake/";
constexpr const char *JobPrefix = "teaselwalk/intake/job/";
constexpr const char *CancelPrefix = "teaselwalk/intake/cancel/";
/// Progress of jobs, written and removed only by the owner.
constexpr const char *StatePrefix = "teaselwalk/state/";
/// Bundles: records of several jobs under one key. No job id contains a `+`.
constexpr const char *BundlePrefix = "teaselwalk/state/+";
/// Record of the present owner, under its lease.
constexpr const char *OwnerKey = "teaselwalk/owner";
/// Epoch record, which fences former owners; it has no lease. Every write of an
/// owner changes it on condition of its former revision, so that a late write
/// of a former owner has no effect.
constexpr const char *EpochKey = "teaselwalk/guard";
/// Record of each process that is up, under a lease of that process.
constexpr const char *ProcessPrefix = "teaselwalk/process/";

inline std::string jobKey(const JobId &Id) { return JobPrefix + Id.str(); }
inline std::string cancelKey(const JobId &Id) {
  return CancelPrefix + Id.str();
}
inline std::string stateKey(const JobId &Id) { return StatePrefix + Id.str(); }

} // namespace teaselwalk::cell
