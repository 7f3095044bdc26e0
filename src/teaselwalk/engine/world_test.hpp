#pragma once

#include "teaselwalk/config/access.hpp"
#include "teaselwalk/config/head.hpp"
#include "teaselwalk/engine/engine.hpp"
#include "teaselwalk/fakes/endpoint_model.hpp"
#include "teaselwalk/fakes/store_model.hpp"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Engines, a store, a VM list and endpoints in one virtual time. Every message
/// between them takes a random time and can be lost.
namespace teaselwalk::engine {

struct WorldOptions {
  uint64_t Seed = 1;
  size_t Processes = 2;
  size_t Endpoints = 6;
  uint32_t Shards = 2;
  Resources Capacity{8000, 16000, 0, 8, 60};
  Resources TeamLimit{1000000, 1000000, 100, 1000, 1000};
  Duration MinDelay{1};
  Duration MaxDelay{4};
};

/// An entry process. `Core` is empty while it is dead.
struct WorldProcess {
  std::string Name;
  protocol::Address At;
  std::unique_ptr<Engine> Core;
  uint64_t Incarnation = 0;
  bool Paused = false;
  bool StoreCut = false; ///< Cannot reach the store.
  std::set<std::string> EndpointCuts;
  std::set<std::string> PeerCuts;
  std::vector<std::function<void()>> Held; ///< Arrived while paused.
};

class World {
public:
  explicit World(WorldOptions Options = {});

  TimePoint now() const { return Time; }
  void runFor(Duration Length);
  /// Runs until \p Done holds, at most for \p Limit. Returns whether it holds.
  bool runUntil(const std::function<bool()> &Done, Duration Limit);

  /// Runs until every shard has an owner with authority, and then until the
  /// owners have claimed their allowances.
  bool settle() {
    bool IsOwned = runUntil([&] { return allOwned(); }, Duration(30000));
    runFor(Duration(3000));
    return IsOwned;
  }
  bool allOwned() const;

  void startProcess(size_t Index);
  void killProcess(size_t Index);
  void pauseProcess(size_t Index) { Processes[Index].Paused = true; }
  void resumeProcess(size_t Index);
  void drainProcess(size_t Index);
  void giveEvent(size_t Index, Event Value);

  Token call(size_t Process, const std::string &Payload, bool Idempotent,
             Duration Deadline = Duration(2000),
             const std::string &Key = "blue-1.secret");
  Token submit(size_t Process, protocol::JobSpec Spec,
               const std::string &Request);
  Token query(size_t Process, const JobId &Job);
  Token cancel(size_t Process, const JobId &Job);

  /// Puts the document in force by a write to the store.
  void applyDocument(const config::Document &Next);
  const config::Document &document() const { return Published.Content; }

  // What the outside has seen.
  std::map<Token, protocol::CallAnswer> CallAnswers;
  std::map<Token, AnswerJob> JobAnswers;
  std::map<Token, AnswerJobStatus> StatusAnswers;
  std::map<Token, std::string> Payloads; ///< Of calls, by token.

  fakes::StoreModel Store;
  bool StoreDown = false;
  /// Answers of writes to be lost after they took effect.
  int LoseStoreAnswers = 0;
  /// Answers of run commands to be lost after they took effect.
  int LoseRunAnswers = 0;
  std::map<std::string, std::unique_ptr<fakes::EndpointModel>> Endpoints;
  std::set<std::string> GoneEndpoints; ///< Not in the VM list.
  std::vector<WorldProcess> Processes;

  /// All attempts that endpoints started, by task id.
  std::map<std::string, std::vector<fakes::RunRecord>> runs() const;
  /// Fails the test if a task ran twice at the same time.
  void expectNoOverlap() const;

private:
  struct Message {
    TimePoint At;
    uint64_t Order;
    std::function<void()> Deliver;
    bool operator<(const Message &Other) const {
      return At != Other.At ? At > Other.At : Order > Other.Order;
    }
  };

  Duration delay();
  void post(Duration After, std::function<void()> Deliver);
  void deliver(size_t Index, uint64_t Incarnation, Event Value);
  void perform(size_t Index, Action &Step);
  void perform(size_t Index, const SendToStore &Step);
  void perform(size_t Index, const SendToEndpoint &Step);
  void perform(size_t Index, const SendHeartbeat &Step);
  void perform(size_t Index, const ForwardCall &Step);
  void perform(size_t Index, const AnswerPeerCall &Step);
  void replyFromEndpoint(size_t Index, uint64_t Incarnation,
                         const SendToEndpoint &Step, EndpointReply Reply);
  EndpointReply applyCommand(fakes::EndpointModel &Model,
                             const EndpointCommand &Message);
  void watchCalls(const std::string &Name);
  void tick(size_t Index, uint64_t Incarnation);
  size_t indexOf(const protocol::Address &At) const;
  std::vector<protocol::VmInfo> vmList() const;

  WorldOptions Options;
  std::mt19937_64 Random;
  TimePoint Time = timeAt(1000);
  uint64_t NextOrder = 0;
  Token NextToken = 1;
  std::priority_queue<Message> Messages;
  config::Snapshot Published;
  config::HeadRecord PublishedHead;
  protocol::StoreVersion HeadVersion = 0;
  /// Run commands that wait for their task's end: endpoint, attempt.
  struct Waiter {
    std::string Endpoint;
    protocol::Attempt Id;
    std::function<void(EndpointReply)> Reply;
  };
  std::vector<Waiter> Waiters;
};

/// A document with one data centre `dc`, team `blue` (key `blue-1.secret`),
/// team `red` (key `red-1.secret`), queues `calls`, `batch`, `watch` and an
/// open queue `open`.
config::Document makeDocument(const WorldOptions &Options);

} // namespace teaselwalk::engine
