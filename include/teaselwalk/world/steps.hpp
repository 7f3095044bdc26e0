#pragma once

#include "teaselwalk/world/oracle.hpp"

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

/// Random steps for a world.
namespace teaselwalk::world {

/// One step: a row of the table of kinds, two arguments and the time that
/// passes after it.
struct Step {
  uint32_t Kind = 0;
  uint32_t A = 0;
  uint32_t B = 0;
  uint32_t GapMs = 0;
};

std::ostream &operator<<(std::ostream &Out, const Step &Value);

/// Number of kinds, by weight: a kind that is taken often has several numbers.
uint32_t stepKinds();

struct CaseResult {
  std::vector<Violation> Found;
  std::vector<std::string> Timeline;
  size_t Runs = 0; ///< Starts on endpoints.
};

/// Runs the steps in a new world, heals it and judges it.
CaseResult runCase(uint64_t Seed, const std::vector<Step> &Steps,
                   Sabotage Fault = Sabotage::None);

} // namespace teaselwalk::world
