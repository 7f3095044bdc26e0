#include "teaselwalk/base/resources.hpp"

#include <algorithm>

namespace teaselwalk {

Resources &Resources::operator+=(const Resources &Other) {
  for (int64_t Resources::*Field : ResourceFields)
    this->*Field += Other.*Field;
  return *this;
}

Resources &Resources::operator-=(const Resources &Other) {
  for (int64_t Resources::*Field : ResourceFields)
    this->*Field -= Other.*Field;
  return *this;
}

bool operator==(const Resources &A, const Resources &B) {
  for (int64_t Resources::*Field : ResourceFields)
    if (A.*Field != B.*Field)
      return false;
  return true;
}

bool fits(const Resources &Need, const Resources &Room) {
  for (int64_t Resources::*Field : ResourceFields)
    if (Need.*Field > Room.*Field)
      return false;
  return true;
}

bool hasNegative(const Resources &Value) {
  for (int64_t Resources::*Field : ResourceFields)
    if (Value.*Field < 0)
      return true;
  return false;
}

double dominantShare(const Resources &Part, const Resources &Whole) {
  double Largest = 0;
  for (int64_t Resources::*Field : ResourceFields) {
    if (Part.*Field <= 0)
      continue;
    if (Whole.*Field <= 0)
      return 1;
    double Ratio =
        static_cast<double>(Part.*Field) / static_cast<double>(Whole.*Field);
    Largest = std::max(Largest, Ratio);
  }
  return Largest;
}

std::ostream &operator<<(std::ostream &Out, const Resources &Value) {
  return Out << "cpu " << Value.MilliCpu << "m, memory " << Value.MemoryMb
             << " MB, accelerators " << Value.Accelerators << ", slots "
             << Value.Slots << ", connections " << Value.Connections;
}

} // namespace teaselwalk
