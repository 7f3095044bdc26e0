#pragma once

#include "teaselwalk/config/describe.hpp"

#include <utility>

/// The parts of `describeChanges`, one overload set for each kind of object.
namespace teaselwalk::config {

/// Differences in the order in which they are found.
class DifferenceList {
public:
  void add(std::string Object, std::string Text) {
    Rows.push_back({std::move(Text), false, std::move(Object)});
  }
  void addDangerous(std::string Object, std::string Text) {
    Rows.push_back({std::move(Text), true, std::move(Object)});
  }
  std::vector<Difference> take() { return std::move(Rows); }

private:
  std::vector<Difference> Rows;
};

/// Sums of all shares, for shares in percent.
struct ShareSums {
  ShareSums(const Document &Old, const Document &New);
  int64_t Old = 0;
  int64_t New = 0;
};

void describeAdded(const DataCentre &Row, DifferenceList &Out);
void describeRemoved(const DataCentre &Row, DifferenceList &Out);
void describeChanged(const DataCentre &Before, const DataCentre &After,
                     DifferenceList &Out);

void describeAdded(const Team &Row, const ShareSums &Sums, DifferenceList &Out);
void describeRemoved(const Team &Row, const RunningUsage &Running,
                     DifferenceList &Out);
void describeChanged(const Team &Before, const Team &After,
                     const ShareSums &Sums, const RunningUsage &Running,
                     DifferenceList &Out);

void describeAdded(const Queue &Row, DifferenceList &Out);
void describeRemoved(const Queue &Row, DifferenceList &Out);
void describeChanged(const Queue &Before, const Queue &After,
                     DifferenceList &Out);

} // namespace teaselwalk::config
