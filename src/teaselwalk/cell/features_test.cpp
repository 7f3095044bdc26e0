#include "teaselwalk/cell/features.hpp"

#include "teaselwalk/base/error.hpp"

#include <gtest/gtest.h>

namespace teaselwalk::cell {
namespace {

// Guards against a deployment that runs with other features than it names.
TEST(FeatureSetTest, HasTheFeaturesThatAreNamed) {
  FeatureSet Some = FeatureSet::parse("endpoint_records,urgent_room");
  EXPECT_TRUE(Some.has(Feature::EndpointRecords));
  EXPECT_TRUE(Some.has(Feature::UrgentRoom));
  EXPECT_FALSE(Some.has(Feature::FailureDomains));
  EXPECT_EQ(Some.str(), "endpoint_records,urgent_room");
}

TEST(FeatureSetTest, ReadsAllAndNone) {
  for (const EnumName<Feature> &Row : FeatureNames) {
    EXPECT_TRUE(FeatureSet::parse("all").has(Row.Value)) << Row.Name;
    EXPECT_FALSE(FeatureSet::parse("none").has(Row.Value)) << Row.Name;
  }
  EXPECT_EQ(FeatureSet::parse("none").str(), "none");
}

// Guards against a misspelt name that silently leaves a feature off.
TEST(FeatureSetTest, RefusesUnknownNames) {
  EXPECT_THROW(FeatureSet::parse("urgent_rom"), InvalidInput);
  EXPECT_THROW(FeatureSet::parse("endpoint_records,,urgent_room"),
               InvalidInput);
}

} // namespace
} // namespace teaselwalk::cell
