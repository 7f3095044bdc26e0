#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace teaselwalk::runtime {

/// A number that only grows. Thread-safe.
class Counter {
public:
  void add(uint64_t Amount = 1) {
    Value.fetch_add(Amount, std::memory_order_relaxed);
  }
  uint64_t value() const { return Value.load(std::memory_order_relaxed); }

private:
  std::atomic<uint64_t> Value{0};
};

/// A number that goes up and down. Thread-safe.
class Gauge {
public:
  void set(double Amount) { Value.store(Amount, std::memory_order_relaxed); }
  double value() const { return Value.load(std::memory_order_relaxed); }

private:
  std::atomic<double> Value{0};
};

/// Distribution of durations in seconds. Thread-safe.
class Timing {
public:
  Timing();
  ~Timing();
  Timing(const Timing &) = delete;
  Timing &operator=(const Timing &) = delete;

  void record(double Seconds);

  struct Summary {
    uint64_t Count = 0;
    double Sum = 0;
    double Max = 0;
    /// Probability and estimate; empty for fewer than 16 samples, for which
    /// the estimator has no steady state.
    std::vector<std::pair<double, double>> Quantiles;
  };
  Summary summary() const;

private:
  class Impl;
  std::unique_ptr<Impl> State;
};

/// The metrics of a process. Names start with `teaselwalk_` and end with a
/// unit, such as `_seconds` or `_total`; other names throw `InvalidInput`. The
/// references returned stay valid as long as the registry. Thread-safe.
///
/// ```cpp
/// Counter &Calls = Registry.counter("teaselwalk_calls_total", "Calls.",
///                                   {{"verdict", "ran"}});
/// Calls.add();
/// ```
class Metrics {
public:
  using Labels = std::vector<std::pair<std::string, std::string>>;

  Counter &counter(const std::string &Name, const std::string &Help,
                   const Labels &Names = {});
  Gauge &gauge(const std::string &Name, const std::string &Help,
               const Labels &Names = {});
  Timing &timing(const std::string &Name, const std::string &Help,
                 const Labels &Names = {});

  /// All metrics in the Prometheus text format.
  std::string render() const;

private:
  template <typename T> struct Family {
    std::string Help;
    std::map<std::string, std::unique_ptr<T>> Members; ///< By label text.
  };
  template <typename T>
  T &member(std::map<std::string, Family<T>> &Families, const std::string &Name,
            const std::string &Help, const Labels &Names);

  mutable std::mutex Mutex;
  std::map<std::string, Family<Counter>> Counters;
  std::map<std::string, Family<Gauge>> Gauges;
  std::map<std::string, Family<Timing>> Timings;
};

} // namespace teaselwalk::runtime
