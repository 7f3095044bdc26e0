#include "teaselwalk/cell/features.hpp"

#include "teaselwalk/base/error.hpp"

#include <sstream>

namespace teaselwalk::cell {

FeatureSet FeatureSet::all() {
  FeatureSet Result;
  Result.On.set();
  return Result;
}

FeatureSet FeatureSet::parse(const std::string &Text) {
  if (Text == "all")
    return all();
  FeatureSet Result;
  if (Text == "none")
    return Result;
  std::istringstream In(Text);
  for (std::string Name; std::getline(In, Name, ',');) {
    std::optional<Feature> Known = valueOf(FeatureNames, Name);
    if (!Known)
      throw InvalidInput("features", "there is no feature '" + Name + "'");
    Result.add(*Known);
  }
  return Result;
}

std::string FeatureSet::str() const {
  std::string Text;
  for (const EnumName<Feature> &Row : FeatureNames)
    if (has(Row.Value))
      Text += (Text.empty() ? "" : ",") + std::string(Row.Name);
  return Text.empty() ? "none" : Text;
}

} // namespace teaselwalk::cell
