#pragma once

#include "teaselwalk/base/time.hpp"

#include <cstdint>
#include <map>
#include <string>

/// Keeps the tasks of a job that has little time together, so that the loss of
/// a data centre delays few jobs. Answers a data centre that is cut off for
/// seconds: a job with a task there waits until the leases of its tasks end.
namespace teaselwalk::cell {

/// Free CPU of each data centre, in thousandths of a processor, as of the last
/// look at the endpoints.
class DataCentreRoom {
public:
  void clear() { FreeCpu.clear(); }
  void add(const std::string &DataCentre, int64_t MilliCpu) {
    FreeCpu[DataCentre] += MilliCpu;
  }
  /// Work of \p MilliCpu goes there.
  void take(const std::string &DataCentre, int64_t MilliCpu) {
    FreeCpu[DataCentre] -= MilliCpu;
  }
  bool isKnown(const std::string &DataCentre) const {
    return FreeCpu.count(DataCentre) != 0;
  }
  /// The data centre with the most free CPU; empty if none is known. Jobs so
  /// spread over all of them.
  std::string emptiest() const;

private:
  std::map<std::string, int64_t> FreeCpu;
};

/// Penalty for an endpoint outside the data centre of the other tasks of the
/// job, in thousandths of a processor, like the free CPU that the best fit
/// compares. \p Slack is the time that the job can spare: with more than the
/// time in which a lost task starts again, a cut costs nothing.
double spreadPenalty(Duration Slack);

} // namespace teaselwalk::cell
