#pragma once

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <sstream>

namespace teaselwalk::cluster {

/// Generates numbers from \p Min to below \p Bound, from the whole range in
/// every test case. `rc::gen::inRange` alone yields only small ones in the
/// first cases.
template <typename Number> rc::Gen<Number> within(Number Min, Number Bound) {
  return rc::gen::resize(rc::kNominalSize, rc::gen::inRange(Min, Bound));
}

/// Checks \p Property in \p Cases test cases. The fixed seed makes every run
/// the same.
template <typename Testable>
void checkProperty(uint64_t Seed, int Cases, Testable &&Property) {
  rc::detail::TestParams Params;
  Params.seed = Seed;
  Params.maxSuccess = Cases;
  rc::detail::TestResult Result = rc::detail::checkTestable(
      std::forward<Testable>(Property), rc::detail::TestMetadata(), Params);
  if (Result.template is<rc::detail::SuccessResult>())
    return;
  std::ostringstream Text;
  rc::detail::printResultMessage(Result, Text);
  FAIL() << "seed " << Seed << ": " << Text.str();
}

} // namespace teaselwalk::cluster
