#pragma once

#include <ostream>
#include <string>
#include <vector>

/// Benchmarks and seeded workloads.
namespace teaselwalk::bench {

/// Print one measurement as `name value unit`.
void printLine(std::ostream &Out, const std::string &Name, double Value,
               const std::string &Unit);

/// The smallest value that at least \p Fraction of \p Values do not exceed.
/// Zero for no values.
double percentile(std::vector<double> Values, double Fraction);

} // namespace teaselwalk::bench
