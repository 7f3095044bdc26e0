#include "teaselwalk/world/steps.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <iostream>
#include <set>
#include <sstream>

namespace teaselwalk::world {
namespace {

rc::Gen<Step> anyStep() {
  return rc::gen::map(
      rc::gen::tuple(rc::gen::inRange<uint32_t>(0, stepKinds()),
                     rc::gen::inRange<uint32_t>(0, 1000),
                     rc::gen::inRange<uint32_t>(0, 1000),
                     rc::gen::inRange<uint32_t>(0, 2500)),
      [](const std::tuple<uint32_t, uint32_t, uint32_t, uint32_t> &Row) {
        return Step{std::get<0>(Row), std::get<1>(Row), std::get<2>(Row),
                    std::get<3>(Row)};
      });
}

constexpr int ShorteningBudget = 500;

uint64_t numberFrom(const char *Name, uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text ? std::strtoull(Text, nullptr, 10) : Default;
}

bool names(const CaseResult &Result, int Invariant) {
  for (const Violation &Row : Result.Found)
    if (Row.Invariant == Invariant)
      return true;
  return false;
}

/// The steps of case \p Seed without rapidcheck, for tests of the checks.
std::vector<Step> stepsOf(uint64_t Seed, size_t Count) {
  std::mt19937_64 Random(Seed);
  std::vector<Step> Steps;
  for (size_t I = 0; I < Count; ++I)
    Steps.push_back({static_cast<uint32_t>(Random() % stepKinds()),
                     static_cast<uint32_t>(Random() % 1000),
                     static_cast<uint32_t>(Random() % 1000),
                     static_cast<uint32_t>(Random() % 2500)});
  return Steps;
}

/// Runs cases until one violates \p Invariant; returns their number, or 0.
uint64_t casesUntil(int Invariant, Sabotage Fault, uint64_t Limit = 12) {
  for (uint64_t Seed = 1; Seed <= Limit; ++Seed)
    if (names(runCase(Seed, stepsOf(Seed, 40), Fault), Invariant))
      return Seed;
  return 0;
}

std::string nameOfCase(uint64_t WorldSeed, const std::vector<Step> &Steps) {
  std::ostringstream Out;
  Out << WorldSeed;
  for (const Step &Value : Steps)
    Out << ' ' << Value;
  return Out.str();
}

// Guards every invariant at once. FUZZ_SEED and FUZZ_CASES choose others.
TEST(FuzzTest, InvariantsHold) {
  rc::detail::TestParams Params;
  Params.seed = numberFrom("FUZZ_SEED", 20261204);
  Params.maxSuccess = static_cast<int>(numberFrom("FUZZ_CASES", 15));
  Params.maxSize = 100;
  std::cout << "seed " << Params.seed << ", cases " << Params.maxSuccess
            << "\n";
  std::vector<std::string> LastTimeline;
  size_t Runs = 0;
  int Tries = 0; ///< Of shortening, after the first failure.
  std::set<std::string> Failed;
  auto Result = rc::detail::checkTestable(
      [&](uint16_t WorldSeed) {
        auto Steps = *rc::gen::resize(
            rc::kNominalSize, rc::gen::container<std::vector<Step>>(anyStep()));
        // A budget bounds the time in which a failure is shortened. A case is
        // asked for again at the end, so its verdict is kept.
        std::string Name = nameOfCase(WorldSeed, Steps);
        bool IsKnown = Failed.empty() || Failed.count(Name) != 0;
        if (!IsKnown && ++Tries > ShorteningBudget)
          return;
        CaseResult Case = runCase(WorldSeed, Steps);
        Runs += Case.Runs;
        if (Case.Found.empty())
          return;
        Failed.insert(Name);
        LastTimeline = Case.Timeline;
        for (const Violation &Row : Case.Found)
          RC_LOG() << 'I' << Row.Invariant << ": " << Row.Text << "\n";
        RC_FAIL("an invariant does not hold");
      },
      rc::detail::TestMetadata(), Params);
  bool Held = Result.is<rc::detail::SuccessResult>();
  std::cout << Runs << " starts on endpoints\n";
  if (!Held) {
    rc::detail::printResultMessage(Result, std::cout);
    for (const std::string &Line : LastTimeline)
      std::cout << Line << "\n";
  }
  EXPECT_TRUE(Held);
}

struct CheckCase {
  int Invariant;
  Sabotage Fault;
  const char *Name;
};

class CheckTest : public testing::TestWithParam<CheckCase> {};

// Guards against a check that cannot fail.
TEST_P(CheckTest, FindsTheDeliberateFault) {
  uint64_t Cases = casesUntil(GetParam().Invariant, GetParam().Fault);
  EXPECT_GT(Cases, 0U);
  std::cout << "found in case " << Cases << "\n";
}

INSTANTIATE_TEST_SUITE_P(
    Checks, CheckTest,
    testing::Values(
        CheckCase{1, Sabotage::DoubleCapacity, "I1FindsDoubleCapacity"},
        CheckCase{2, Sabotage::TwoOwners, "I2FindsTwoOwners"},
        CheckCase{3, Sabotage::HideDocument, "I3FindsHiddenWithdrawal"},
        CheckCase{4, Sabotage::GhostTask, "I4FindsGhostTasks"},
        CheckCase{5, Sabotage::HideDocument, "I5FindsHiddenOutage"},
        CheckCase{6, Sabotage::SwapAnswers, "I6FindsSwappedAnswers"},
        CheckCase{7, Sabotage::LieNotSent, "I7FindsFalseNotSent"},
        CheckCase{8, Sabotage::RunAgain, "I8FindsSecondRun"},
        CheckCase{9, Sabotage::HideLeaving, "I9FindsHiddenLeaving"},
        CheckCase{10, Sabotage::KillOnDrain, "I10FindsKillOnDrain"},
        CheckCase{11, Sabotage::DropChange, "I11FindsLostChange"}),
    [](const testing::TestParamInfo<CheckCase> &Info) {
      return Info.param.Name;
    });

// Guards against a verdict that depends on anything but the seed.
TEST(FuzzTest, SameSeedSameTimeline) {
  CaseResult A = runCase(7, stepsOf(7, 30));
  CaseResult B = runCase(7, stepsOf(7, 30));
  ASSERT_EQ(A.Timeline.size(), B.Timeline.size());
  for (size_t I = 0; I < A.Timeline.size(); ++I)
    ASSERT_EQ(A.Timeline[I], B.Timeline[I]) << I;
  EXPECT_EQ(A.Runs, B.Runs);
}

} // namespace
} // namespace teaselwalk::world
