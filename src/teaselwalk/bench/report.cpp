#include "teaselwalk/bench/report.hpp"

#include <algorithm>
#include <cmath>
#include <iomanip>

namespace teaselwalk::bench {

void printLine(std::ostream &Out, const std::string &Name, double Value,
               const std::string &Unit) {
  Out << Name << ' ' << std::fixed << std::setprecision(3) << Value << ' '
      << Unit << '\n';
}

double percentile(std::vector<double> Values, double Fraction) {
  if (Values.empty())
    return 0;
  auto Rank = static_cast<size_t>(
      std::ceil(Fraction * static_cast<double>(Values.size())));
  size_t At = std::min(Values.size() - 1, Rank > 0 ? Rank - 1 : 0);
  std::nth_element(Values.begin(),
                   Values.begin() + static_cast<std::ptrdiff_t>(At),
                   Values.end());
  return Values[At];
}

} // namespace teaselwalk::bench
