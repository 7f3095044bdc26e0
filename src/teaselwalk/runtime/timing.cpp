#include "teaselwalk/runtime/metrics.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>

namespace teaselwalk::runtime {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> Probabilities = {0.5, 0.9, 0.99};
constexpr uint64_t MinSamples = 16;

using Accumulator = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max,
                       acc::tag::extended_p_square>>;

} // namespace

class Timing::Impl {
public:
  mutable std::mutex Mutex;
  Accumulator Samples{acc::extended_p_square_probabilities = Probabilities};
};

Timing::Timing() : State(std::make_unique<Impl>()) {}
Timing::~Timing() = default;

void Timing::record(double Seconds) {
  std::lock_guard<std::mutex> Lock(State->Mutex);
  State->Samples(Seconds);
}

Timing::Summary Timing::summary() const {
  std::lock_guard<std::mutex> Lock(State->Mutex);
  Summary Out;
  Out.Count = acc::count(State->Samples);
  if (Out.Count == 0)
    return Out;
  Out.Sum = acc::sum(State->Samples);
  Out.Max = acc::max(State->Samples);
  if (Out.Count < MinSamples)
    return Out;
  auto Estimates = acc::extended_p_square(State->Samples);
  for (size_t I = 0; I < Probabilities.size(); ++I)
    Out.Quantiles.emplace_back(Probabilities[I],
                               Estimates[static_cast<long>(I)]);
  return Out;
}

} // namespace teaselwalk::runtime
