#pragma once

#include <cstdint>
#include <ostream>

namespace teaselwalk {

/// An amount of what a VM has. Also the declared size of a task and the
/// upper limit of a team.
struct Resources {
  int64_t MilliCpu = 0;     ///< Thousandths of a processor.
  int64_t MemoryMb = 0;     ///< Megabytes (2^20 bytes).
  int64_t Accelerators = 0; ///< Whole accelerators.
  int64_t Slots = 0;        ///< Tasks that may run side by side.
  int64_t Connections = 0;  ///< Open connections from entry processes.

  Resources &operator+=(const Resources &Other);
  Resources &operator-=(const Resources &Other);

  friend Resources operator+(Resources A, const Resources &B) { return A += B; }
  friend Resources operator-(Resources A, const Resources &B) { return A -= B; }
  friend bool operator==(const Resources &A, const Resources &B);
  friend bool operator!=(const Resources &A, const Resources &B) {
    return !(A == B);
  }
};

/// The components of `Resources`, for code that treats all alike.
constexpr int64_t Resources::*ResourceFields[] = {
    &Resources::MilliCpu, &Resources::MemoryMb, &Resources::Accelerators,
    &Resources::Slots, &Resources::Connections};

/// True if every component of \p Need is at most that of \p Room.
bool fits(const Resources &Need, const Resources &Room);

/// True if a component is below zero.
bool hasNegative(const Resources &Value);

/// The largest ratio of a component of \p Part to that of \p Whole: the
/// dominant share. A component of \p Whole that is zero counts only if \p Part
/// needs it, and the result is then 1.
double dominantShare(const Resources &Part, const Resources &Whole);

/// "cpu 1500m, memory 2048 MB, accelerators 0, slots 1, connections 1".
std::ostream &operator<<(std::ostream &Out, const Resources &Value);

} // namespace teaselwalk
