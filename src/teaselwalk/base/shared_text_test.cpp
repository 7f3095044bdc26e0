#include "teaselwalk/base/id.hpp"
#include "teaselwalk/base/shared_text.hpp"

#include <gtest/gtest.h>

#include <set>
#include <unordered_set>
#include <utility>
#include <vector>

namespace teaselwalk {
namespace {

// Guards against texts that are equal only if they share their content.
TEST(SharedTextTest, EqualTextsAreEqualWhereverTheyWereMade) {
  SharedText Copied("plot");
  const std::vector<SharedText> Copies{Copied};
  EXPECT_EQ(Copied, Copies.front());
  EXPECT_EQ(Copied, SharedText("plot"));
  EXPECT_EQ(Copied.hash(), SharedText("plot").hash());
  EXPECT_FALSE(Copied == SharedText("plots"));
  EXPECT_EQ(SharedText(""), SharedText());
  EXPECT_TRUE(SharedText("").empty());
}

// Guards against an order that differs from that of the texts.
TEST(SharedTextTest, IsOrderedLikeItsText) {
  SharedText A("a");
  SharedText B("b");
  EXPECT_TRUE(A < B);
  EXPECT_FALSE(B < A);
  EXPECT_FALSE(A < A);
  EXPECT_FALSE(A < SharedText("a"));
  EXPECT_TRUE(SharedText() < A);
}

// Guards against a moved or empty id that cannot be read.
TEST(IdTest, EmptyIdsAreReadable) {
  EndpointId First("e1");
  EndpointId Moved = std::move(First);
  EXPECT_EQ(Moved.str(), "e1");
  First = EndpointId(); // NOLINT(bugprone-use-after-move)
  EXPECT_EQ(First.str(), "");
  std::unordered_set<EndpointId> Known{EndpointId(), Moved};
  EXPECT_EQ(Known.count(EndpointId("e1")), 1U);
  EXPECT_EQ(Known.count(EndpointId("")), 1U);
}

} // namespace
} // namespace teaselwalk
