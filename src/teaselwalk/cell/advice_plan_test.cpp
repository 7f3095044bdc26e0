#include "teaselwalk/cell/advice_plan.hpp"

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace teaselwalk::cell::testing {
namespace {

/// The id with \p Text, which candidates refer to.
const EndpointId *idOf(const std::string &Text) {
  static std::set<EndpointId> Known;
  return &*Known.emplace(Text).first;
}

AdviceNeed longRequest(int32_t Tasks, bool StartsTogether) {
  AdviceNeed Need;
  Need.Tasks = Tasks;
  Need.StartsTogether = StartsTogether;
  Need.AllowedShare = 0.25;
  Need.Base = Duration(600);
  Need.PerEndpointMs = 8.6;
  return Need;
}

/// \p Count unknown endpoints with room for \p Places tasks each.
std::vector<AdviceCandidate> unknownEndpoints(int Count, int64_t Places) {
  std::vector<AdviceCandidate> Result;
  Result.reserve(static_cast<size_t>(Count));
  for (int I = 0; I < Count; ++I)
    Result.push_back({idOf("u" + std::to_string(I)), Places,
                      static_cast<double>(I), false, Duration(0)});
  return Result;
}

// Guards against a request that yields enough tickets only in half of the
// cases: with 48 endpoints the expected number of places is 12, its standard
// deviation 3.
TEST(AdvicePlanTest, NamesEnoughForTheSpread) {
  AdviceNeed Need = longRequest(9, false);
  EXPECT_EQ(planAdvice(Need, unknownEndpoints(200, 1)).size(), 48U);
  Need.AllowedShare = 1;
  EXPECT_EQ(planAdvice(Need, unknownEndpoints(200, 1)).size(), 9U);
}

// Guards against a request that the service rejects.
TEST(AdvicePlanTest, NamesAtMostWhatTheServiceAccepts) {
  EXPECT_EQ(
      planAdvice(longRequest(500, false), unknownEndpoints(300, 1)).size(),
      100U);
}

// Guards against long requests about many endpoints with little room when few
// with much room would do.
TEST(AdvicePlanTest, LongRequestsPreferRoom) {
  std::vector<AdviceCandidate> Candidates = unknownEndpoints(150, 1);
  Candidates.push_back({idOf("wide"), 9, 1000, false, Duration(0)});
  std::vector<EndpointId> Named = planAdvice(longRequest(9, false), Candidates);
  EXPECT_EQ(Named.front(), EndpointId("wide"));
  AdviceNeed Short = longRequest(9, false);
  Short.Base = Duration(10);
  EXPECT_EQ(planAdvice(Short, Candidates).front(), EndpointId("u0"));
}

// Guards against a gang whose tickets do not meet: a ticket that ends before
// the answer is renewed, one that outlasts it is not.
TEST(AdvicePlanTest, RenewsTicketsThatEndTooSoon) {
  std::vector<AdviceCandidate> Candidates = {
      {idOf("fresh"), 2, 0, true, Duration(1200)},
      {idOf("ending"), 2, 0, true, Duration(500)},
      {idOf("ended"), 1, 0, true, Duration(0)},
      {idOf("unknown"), 9, 0, false, Duration(0)},
  };
  std::vector<EndpointId> Expected = {EndpointId("ending"),
                                      EndpointId("ended")};
  EXPECT_EQ(planAdvice(longRequest(4, true), Candidates), Expected);
}

// Guards against a request without endpoints, which the service would answer
// at once and for ever without use.
TEST(AdvicePlanTest, NamesNoneWithoutCandidates) {
  EXPECT_TRUE(planAdvice(longRequest(4, true), {}).empty());
}

} // namespace
} // namespace teaselwalk::cell::testing
