#pragma once

#include "teaselwalk/config/head.hpp"
#include "teaselwalk/engine/engine.hpp"
#include "teaselwalk/fakes/endpoint_model.hpp"
#include "teaselwalk/fakes/store_model.hpp"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

/// Engines, a store, a VM list and endpoints in one virtual time, with a meter
/// on the traffic of each engine.
namespace teaselwalk::bench {

/// HTTP bytes beside the body: request line, host, content type and length, and
/// status line with the same fields. Taken from the messages of module http.
struct HttpOverhead {
  size_t Request = 105;
  size_t Response = 90;
};

enum class Partner { Endpoint, Peer, Store, VmList };

constexpr std::array<EnumName<Partner>, 4> PartnerNames = {{
    {Partner::Endpoint, "endpoints"},
    {Partner::Peer, "peers"},
    {Partner::Store, "store"},
    {Partner::VmList, "vm_list"},
}};

struct Traffic {
  uint64_t Messages = 0; ///< A request with its answer counts once.
  uint64_t Bytes = 0;    ///< Both directions.
};

/// What one engine has used since the last `CapacityWorld::resetMeters`.
struct Meter {
  std::array<Traffic, PartnerNames.size()> By;
  double CpuSeconds = 0; ///< Inside `Engine::handle`.
  uint64_t Events = 0;   ///< Without ticks.
  double EventSeconds = 0;

  Traffic &of(Partner Kind) { return By[static_cast<size_t>(Kind)]; }
  const Traffic &of(Partner Kind) const {
    return By[static_cast<size_t>(Kind)];
  }
};

struct CapacityOptions {
  uint64_t Seed = 1;
  size_t Endpoints = 8;
  size_t Processes = 1;
  size_t DataCentres = 1; ///< Only the first one has engines.
  /// Rows of the VM list in each other data centre.
  size_t RemoteEndpoints = 0;
  size_t Teams = 6;
  uint32_t Shards = 1;
};

class CapacityWorld {
public:
  explicit CapacityWorld(CapacityOptions Options);

  void runFor(Duration Length);
  /// Runs until one process holds every shard; throws `Error` after 60 s.
  void settle();
  /// Submits a job with a new request id to the owner of shard 0.
  void submit(protocol::JobSpec Spec);
  void call(Duration RunTime);
  void changeDocument();

  void resetMeters();
  /// Of the owner of shard 0.
  const Meter &owner() const { return Meters[ownerIndex()]; }
  const fakes::StoreCounts &storeCounts() const { return Store.counts(); }
  size_t runningTasks() const;
  size_t answeredCalls() const { return Answered; }
  size_t documentBytes() const;
  size_t headBytes() const { return config::serialise(Head).size(); }
  /// Ends the owner of shard 0 and returns the heap bytes that this freed.
  size_t ownerHeapBytes();

private:
  struct Message {
    TimePoint At;
    uint64_t Order;
    std::function<void()> Deliver;
    bool operator<(const Message &Other) const {
      return At != Other.At ? At > Other.At : Order > Other.Order;
    }
  };

  size_t ownerIndex() const;
  void post(Duration After, std::function<void()> Deliver);
  void tick(size_t Index);
  void give(size_t Index, const engine::Event &Value);
  void deliver(size_t Index, engine::Event Value);
  void perform(size_t Index, engine::Action &Step);
  void send(size_t Index, const engine::SendToEndpoint &Step);
  void send(size_t Index, const engine::SendToStore &Step);
  void send(size_t Index, const engine::SendHeartbeat &Step);
  void sendVmList(size_t Index);
  void apply(const config::Document &Next);
  void write(const std::string &Key, const std::string &Value,
             protocol::StoreVersion Expected);
  void count(size_t Index, Partner Kind, size_t RequestBytes,
             size_t AnswerBytes);
  std::vector<protocol::VmInfo> vmList() const;

  CapacityOptions Options;
  TimePoint Time = timeAt(1000);
  uint64_t NextOrder = 0;
  engine::RequestToken NextToken = 1;
  size_t Answered = 0;
  std::priority_queue<Message> Messages;
  std::vector<std::unique_ptr<engine::Engine>> Cores;
  std::vector<protocol::Address> Addresses;
  std::vector<Meter> Meters;
  std::map<std::string, std::unique_ptr<fakes::EndpointModel>> Endpoints;
  std::vector<protocol::VmInfo> Vms;
  size_t VmListBytes = 0;
  fakes::StoreModel Store;
  config::Snapshot Published;
  config::HeadRecord Head;
  protocol::StoreVersion HeadVersion = 0;
};

} // namespace teaselwalk::bench
