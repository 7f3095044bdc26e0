#include "teaselwalk/base/resources.hpp"

#include <gtest/gtest.h>

namespace teaselwalk {
namespace {

// Guards against a component left out of the comparison.
TEST(ResourcesTest, FitsComparesEveryComponent) {
  Resources Room{1000, 100, 1, 8, 60};
  for (int64_t Resources::*Field : ResourceFields) {
    Resources Need = Room;
    EXPECT_TRUE(fits(Need, Room));
    Need.*Field += 1;
    EXPECT_FALSE(fits(Need, Room));
  }
}

// Guards against a division by zero for a kind the cell does not have.
TEST(ResourcesTest, DominantShareOfMissingKindIsWhole) {
  Resources Whole{1000, 100, 0, 8, 60};
  EXPECT_DOUBLE_EQ(dominantShare({500, 25, 0, 0, 0}, Whole), 0.5);
  EXPECT_DOUBLE_EQ(dominantShare({500, 25, 1, 0, 0}, Whole), 1.0);
}

} // namespace
} // namespace teaselwalk
