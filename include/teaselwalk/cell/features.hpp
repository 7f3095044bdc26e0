#pragma once

#include "teaselwalk/base/enum_names.hpp"

#include <array>
#include <bitset>
#include <cstddef>
#include <string>

namespace teaselwalk::cell {

/// Parts of the scheduler for clusters with little room. Each is off unless the
/// settings of a deployment ask for it.
enum class Feature {
  FailureDomains,  ///< Keeps the tasks of a job together in a data centre.
  EndpointRecords, ///< Avoids endpoints whose recent tasks failed or were slow.
  UrgentRoom       ///< Makes room for urgent jobs.
};

constexpr std::array<EnumName<Feature>, 3> FeatureNames = {{
    {Feature::FailureDomains, "failure_domains"},
    {Feature::EndpointRecords, "endpoint_records"},
    {Feature::UrgentRoom, "urgent_room"},
}};

/// The features that are on.
class FeatureSet {
public:
  bool has(Feature Which) const { return On[static_cast<size_t>(Which)]; }
  void add(Feature Which) { On.set(static_cast<size_t>(Which)); }
  bool isEmpty() const { return On.none(); }

  static FeatureSet all();
  /// Reads names of features, separated by commas. `all` stands for all of
  /// them, `none` for none. Throws `InvalidInput` for any other name.
  static FeatureSet parse(const std::string &Text);

  /// The names, separated by commas; `none` if no feature is on.
  std::string str() const;

private:
  std::bitset<FeatureNames.size()> On;
};

} // namespace teaselwalk::cell
