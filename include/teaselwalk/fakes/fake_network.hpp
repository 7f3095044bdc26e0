#pragma once

#include "teaselwalk/base/time.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>

namespace teaselwalk::fakes {

/// How messages fare. Probabilities are in thousandths.
struct NetworkOptions {
  Duration MinDelay{1};
  Duration MaxDelay{5}; ///< Messages overtake each other within the range.
  int LostPerMille = 0;
  int RepeatedPerMille = 0;
  int LatePerMille = 0; ///< Delayed by up to `MaxLateness` more.
  Duration MaxLateness{5000};
};

struct NetworkCounts {
  uint64_t Sent = 0;
  uint64_t Delivered = 0;
  uint64_t Lost = 0; ///< By chance or by a cut.
  uint64_t Repeated = 0;
};

/// Messages on their way between named nodes, in virtual time. The same seed,
/// options and calls give the same deliveries.
///
/// ```cpp
/// FakeNetwork<std::string> Net(Seed, {});
/// Net.send("entry-1", "endpoint-1", "run", Now);
/// while (auto Due = Net.next(Until))
///   handle(Due->To, Due->Content, Due->At);
/// ```
template <typename Message> class FakeNetwork {
public:
  struct Delivery {
    TimePoint At;
    std::string From;
    std::string To;
    Message Content;
  };

  explicit FakeNetwork(uint64_t Seed, NetworkOptions Options)
      : Options(Options), Random(Seed) {}

  NetworkOptions &options() { return Options; }
  const NetworkCounts &counts() const { return Counts; }
  size_t inFlight() const { return Queue.size(); }

  void send(const std::string &From, const std::string &To, Message Content,
            TimePoint Now) {
    ++Counts.Sent;
    if (draw(1000) < Options.LostPerMille) {
      ++Counts.Lost;
      return;
    }
    if (draw(1000) < Options.RepeatedPerMille) {
      ++Counts.Repeated;
      enqueue(From, To, Content, Now);
    }
    enqueue(From, To, std::move(Content), Now);
  }

  /// The next message that arrives at or before \p Until. A message that
  /// arrives while its way is cut is lost.
  std::optional<Delivery> next(TimePoint Until) {
    while (!Queue.empty() && Queue.begin()->first.first <= Until) {
      Delivery Due = std::move(Queue.begin()->second);
      Queue.erase(Queue.begin());
      if (!isCut(Due.From, Due.To)) {
        ++Counts.Delivered;
        return Due;
      }
      ++Counts.Lost;
    }
    return std::nullopt;
  }

  /// When the next message arrives, if one is on its way.
  std::optional<TimePoint> nextAt() const {
    if (Queue.empty())
      return std::nullopt;
    return Queue.begin()->first.first;
  }

  /// Cuts the way from \p From to \p To; the way back stays.
  void cutOneWay(const std::string &From, const std::string &To) {
    Cuts.emplace(From, To);
  }

  void cut(const std::string &A, const std::string &B) {
    cutOneWay(A, B);
    cutOneWay(B, A);
  }

  void heal(const std::string &A, const std::string &B) {
    Cuts.erase({A, B});
    Cuts.erase({B, A});
  }

  void healAll() { Cuts.clear(); }

  bool isCut(const std::string &From, const std::string &To) const {
    return Cuts.count({From, To}) > 0;
  }

private:
  /// From 0 to \p Bound - 1. Unlike a standard distribution it gives the same
  /// values with every standard library.
  int64_t draw(int64_t Bound) {
    return static_cast<int64_t>(Random() % static_cast<uint64_t>(Bound));
  }

  void enqueue(const std::string &From, const std::string &To, Message Content,
               TimePoint Now) {
    int64_t Range =
        std::max<int64_t>(0, (Options.MaxDelay - Options.MinDelay).count());
    Duration Delay = Options.MinDelay + Duration(draw(Range + 1));
    if (draw(1000) < Options.LatePerMille)
      Delay += Duration(draw(Options.MaxLateness.count() + 1));
    TimePoint At = Now + Delay;
    // Messages that arrive at the same time keep the order of their sending.
    Queue.emplace(std::make_pair(At, NextOrder++),
                  Delivery{At, From, To, std::move(Content)});
  }

  NetworkOptions Options;
  std::mt19937_64 Random;
  std::map<std::pair<TimePoint, uint64_t>, Delivery> Queue;
  std::set<std::pair<std::string, std::string>> Cuts;
  uint64_t NextOrder = 0;
  NetworkCounts Counts;
};

} // namespace teaselwalk::fakes
