#pragma once

#include "fake_world.hpp"

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <random>
#include <string>

namespace teaselwalk::cell::testing {

/// Number of kinds of faults that `RandomFaults` chooses from: those of one
/// process, one endpoint or the store, and all of them.
constexpr uint32_t SingleFaultKinds = 13;
constexpr uint32_t AllFaultKinds = 18;

/// Injects random faults into a world.
class RandomFaults {
public:
  RandomFaults(FakeWorld &World, std::mt19937 &Random, uint32_t Kinds)
      : World(World), Random(Random), Kinds(Kinds) {}

  uint32_t randomBelow(uint32_t Count) {
    return std::uniform_int_distribution<uint32_t>(0, Count - 1)(Random);
  }

  size_t liveProcess() {
    for (;;) {
      size_t Index = randomBelow(static_cast<uint32_t>(World.Processes.size()));
      if (World.Processes[Index])
        return Index;
    }
  }

  EndpointId someEndpoint() {
    auto It = World.Cluster.Machines.begin();
    std::advance(
        It, randomBelow(static_cast<uint32_t>(World.Cluster.Machines.size())));
    return It->first;
  }

  /// Injects one fault. The clock runs on until most kinds are over.
  void inject() {
    size_t Index = randomBelow(4) == 0 ? liveProcess() : World.ownerIndex();
    if (Index >= World.Processes.size())
      Index = liveProcess();
    FakeProcess &Process = *World.Processes[Index];
    uint32_t Kind = randomBelow(Kinds);
    if (World.Cluster.Trace)
      World.Cluster.Trace(
          std::to_string(World.Clock.now().time_since_epoch().count()) +
          " fault " + std::to_string(Kind) + " on process " +
          std::to_string(Index) + ", owner " +
          std::to_string(World.ownerIndex()));
    switch (Kind) {
    case 0:
      World.kill(Index);
      World.Clock.runFor(Duration(randomBelow(3000)));
      World.restart(Index);
      break;
    case 1:
      Process.Clock.pause();
      World.Clock.runFor(Duration(500 + randomBelow(5000)));
      Process.Clock.resume();
      break;
    case 2:
      Process.Store.IsSilent = true;
      World.Clock.runFor(Duration(500 + randomBelow(6000)));
      Process.Store.IsSilent = false;
      break;
    case 3:
      Process.Store.IsRefusing = true;
      World.Clock.runFor(Duration(500 + randomBelow(6000)));
      Process.Store.IsRefusing = false;
      break;
    case 4:
      Process.Store.LoseAnswers = static_cast<int>(1 + randomBelow(4));
      break;
    case 5:
      Process.Store.DelayWrites = static_cast<int>(1 + randomBelow(4));
      Process.Store.WriteDelay = Duration(1000 + randomBelow(5000));
      break;
    case 6:
      Process.Endpoints.LoseStarts = static_cast<int>(1 + randomBelow(6));
      break;
    case 7:
      Process.Endpoints.DelayStarts = static_cast<int>(1 + randomBelow(6));
      Process.Endpoints.StartDelay = Duration(2000 + randomBelow(10000));
      break;
    case 8: {
      EndpointId Id = someEndpoint();
      World.Cluster.crash(Id);
      World.unlistEndpoint(Id);
      // A restart takes longer than the owner's pause between two renewals
      // (docs/design.md, section 8): 73 ms let seed 20261580 fail.
      World.Clock.runFor(Duration(300 + randomBelow(4000)));
      World.Cluster.restart(Id);
      World.listEndpoint(Id);
      break;
    }
    case 9: {
      EndpointId Id = someEndpoint();
      World.Cluster.Machines[Id].IsPartitioned = true;
      World.Clock.runFor(Duration(randomBelow(9000)));
      World.Cluster.Machines[Id].IsPartitioned = false;
      break;
    }
    case 10:
      World.Store.dropHistory();
      break;
    case 11:
      Process.Endpoints.IsPartitioned = true;
      World.Clock.runFor(Duration(randomBelow(4000)));
      Process.Endpoints.IsPartitioned = false;
      break;
    case 13:
      Process.Peers.IsPartitioned = true;
      World.Clock.runFor(Duration(500 + randomBelow(6000)));
      Process.Peers.IsPartitioned = false;
      break;
    case 14: {
      EndpointId Id = someEndpoint();
      for (auto &Other : World.Processes)
        Other->Endpoints.LoseRenewalAnswersOf.insert(Id);
      World.Clock.runFor(Duration(500 + randomBelow(7000)));
      for (auto &Other : World.Processes)
        Other->Endpoints.LoseRenewalAnswersOf.clear();
      break;
    }
    case 15:
      for (auto &Other : World.Processes)
        Other->Store.Latency = Duration(120);
      World.Clock.runFor(Duration(500 + randomBelow(5000)));
      for (auto &Other : World.Processes)
        Other->Store.Latency = Duration(2);
      break;
    case 16:
      // The network of a data centre is cut off: the process reaches the
      // endpoints but neither the store nor other processes.
      Process.Peers.IsPartitioned = true;
      Process.Store.IsSilent = true;
      World.Clock.runFor(Duration(500 + randomBelow(6000)));
      Process.Peers.IsPartitioned = false;
      Process.Store.IsSilent = false;
      break;
    case 17:
      Process.Store.LosesWatchEvents = true;
      World.Clock.runFor(Duration(500 + randomBelow(4000)));
      Process.Store.LosesWatchEvents = false;
      break;
    default:
      for (auto &Other : World.Processes)
        Other->Store.IsSilent = true;
      World.Clock.runFor(Duration(randomBelow(6000)));
      for (auto &Other : World.Processes)
        Other->Store.IsSilent = false;
      break;
    }
  }

  /// Until when calls that were held back or lost may have an effect.
  TimePoint effectsUntil() const {
    TimePoint Until;
    for (const auto &Process : World.Processes) {
      bool IsStoreHarmed =
          Process->Store.LoseAnswers > 0 || Process->Store.DelayWrites > 0;
      if (IsStoreHarmed || Process->Endpoints.LoseStarts > 0)
        Until = std::max(Until, World.Clock.now() + LongestWriteDelay);
      if (Process->Endpoints.DelayStarts > 0)
        Until = std::max(Until, World.Clock.now() + LongestStartDelay);
    }
    return Until;
  }

  void repair() {
    for (auto &Process : World.Processes) {
      Process->Store.LoseAnswers = 0;
      Process->Store.DelayWrites = 0;
      Process->Endpoints.LoseStarts = 0;
      Process->Endpoints.DelayStarts = 0;
    }
  }

private:
  static constexpr Duration LongestWriteDelay{6000};
  static constexpr Duration LongestStartDelay{12000};

  FakeWorld &World;
  std::mt19937 &Random;
  const uint32_t Kinds;
};

/// The number in the environment variable \p Name, or \p Default.
inline uint32_t fromEnvironment(const char *Name, uint32_t Default) {
  const char *Text = std::getenv(Name);
  return Text == nullptr ? Default : static_cast<uint32_t>(std::stoul(Text));
}

} // namespace teaselwalk::cell::testing
