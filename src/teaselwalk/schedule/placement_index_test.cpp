#include "teaselwalk/schedule/placement_index.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace teaselwalk::schedule {
namespace {

// Guards against a search that misses the only endpoint with room, and against
// one that returns an endpoint without room, after many random updates.
TEST(PlacementIndexTest, FindsAnEndpointWheneverOneFits) {
  std::mt19937_64 Random(11);
  auto Between = [&](int64_t Low, int64_t High) {
    return std::uniform_int_distribution<int64_t>(Low, High)(Random);
  };
  PlacementIndex Index;
  std::vector<Resources> Rooms(300);
  int Found = 0;
  for (int Step = 0; Step < 20000; ++Step) {
    auto At = static_cast<PlacementIndex::Index>(Between(0, 299));
    Rooms[At] = {Between(-500, 8000), Between(-500, 8000),
                 At % 10 == 0 ? Between(0, 2) : 0, Between(0, 8),
                 Between(0, 4)};
    Index.update(At, Rooms[At], {64000, 131072, At % 10 == 0 ? 4 : 0, 8, 60},
                 At / 8);
    Resources Need{Between(6000, 8000), Between(6000, 8000), Between(0, 9) / 9,
                   Between(1, 8), Between(0, 4)};
    auto HasRoom = [&](const Resources &Room) {
      return !hasNegative(Room) && fits(Need, Room);
    };
    auto Chosen = Index.choose(Need);
    EXPECT_EQ(Chosen.has_value(),
              std::any_of(Rooms.begin(), Rooms.end(), HasRoom));
    if (Chosen) {
      ++Found;
      EXPECT_TRUE(HasRoom(Rooms[*Chosen]));
    }
  }
  EXPECT_GT(Found, 1000);
  EXPECT_LT(Found, 19000);
}

} // namespace
} // namespace teaselwalk::schedule
