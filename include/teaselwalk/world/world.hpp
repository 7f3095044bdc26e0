#pragma once

#include "teaselwalk/config/access.hpp"
#include "teaselwalk/config/head.hpp"
#include "teaselwalk/engine/engine.hpp"
#include "teaselwalk/fakes/endpoint_model.hpp"
#include "teaselwalk/fakes/store_model.hpp"
#include "teaselwalk/world/facts.hpp"

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
namespace teaselwalk::world {

using engine::RequestToken;

struct WorldOptions {
  uint64_t Seed = 1;
  size_t DataCentres = 1; ///< Processes and endpoints take turns in them.
  size_t Processes = 2;
  size_t Endpoints = 6;
  uint32_t Shards = 2;
  Resources Capacity{8000, 16000, 0, 8, 60};
  Resources TeamLimit{1000000, 1000000, 100, 1000, 1000};
  Duration MinDelay{1};
  Duration MaxDelay{4};
  Sabotage Fault = Sabotage::None;
};

/// An entry process. `Core` is empty while it is dead.
struct WorldProcess {
  std::string Name;
  protocol::Address At;
  std::unique_ptr<engine::Engine> Core;
  DataCentreId DataCentre;
  uint64_t Incarnation = 0;
  TimePoint SoundSince; ///< Runs and reaches the store since then.
  bool Draining = false;
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
  void giveEvent(size_t Index, const engine::Event &Value);

  RequestToken call(size_t Process, const std::string &Payload, bool Idempotent,
                    Duration Deadline = Duration(2000),
                    const std::string &Key = "blue-1.secret",
                    const std::string &Queue = "calls");
  RequestToken submit(size_t Process, protocol::JobSpec Spec,
                      const std::string &Request,
                      const std::string &Key = "blue-1.secret");
  /// An operator's change through \p Process, based on the document that was
  /// in the store at \p Base (an index into `Documents`).
  void propose(size_t Process, size_t Base, const config::Document &Next);
  void setLeaving(const std::string &Endpoint, bool Leaving);
  void crashEndpoint(const std::string &Endpoint);
  /// Undoes every cut, outage and pause, and starts dead processes.
  void heal();
  RequestToken query(size_t Process, const JobId &Job);
  RequestToken cancel(size_t Process, const JobId &Job);

  /// Puts the document in force by a write to the store.
  void applyDocument(const config::Document &Next);
  const config::Document &document() const { return Published.Content; }

  // What the outside has seen.
  std::map<RequestToken, protocol::CallAnswer> CallAnswers;
  std::map<RequestToken, engine::AnswerJob> JobAnswers;
  std::map<RequestToken, engine::AnswerJobStatus> StatusAnswers;
  std::map<RequestToken, CallFact> Calls;
  std::map<RequestToken, JobFact> Jobs;
  std::vector<DocumentFact> Documents; ///< As the store took them.
  std::map<RequestToken, ProposalFact> Proposals;
  std::map<std::string, std::vector<LeavingFact>> Leaves;
  /// Calls that a planned stop left without an answer.
  std::vector<std::string> Interrupted;
  std::vector<std::string> AnsweredTwice;
  std::vector<std::string> Timeline; ///< What processes recorded.

  fakes::StoreModel Store;
  bool StoreDown = false;
  /// Answers of writes to be lost after they took effect.
  int LoseStoreAnswers = 0;
  /// Answers of run commands to be lost after they took effect.
  int LoseRunAnswers = 0;
  /// Of 100 messages, so many are delayed by up to `LongDelay`, or delivered
  /// twice.
  int LatePercent = 0;
  int RepeatPercent = 0;
  Duration LongDelay{900};
  Duration VmListLag{0};
  std::map<std::string, std::unique_ptr<fakes::EndpointModel>> Endpoints;
  std::set<std::string> GoneEndpoints; ///< Not in the VM list.
  std::vector<WorldProcess> Processes;

  /// All attempts that endpoints started, by task id.
  std::map<std::string, std::vector<fakes::RunRecord>> runs() const;
  /// Ends what is over on every endpoint.
  void advanceEndpoints();
  DataCentreId centreOf(const std::string &Endpoint) const;
  /// The tasks that ran twice at the same time.
  std::vector<std::string> overlaps() const;
  const WorldOptions &options() const { return Options; }
  Resources capacityOf(const std::string &) const { return Options.Capacity; }

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
  void deliver(size_t Index, uint64_t Incarnation, engine::Event Value);
  void perform(size_t Index, engine::Action &Step);
  void perform(size_t Index, const engine::SendToStore &Step);
  void perform(size_t Index, const engine::SendToEndpoint &Step);
  void perform(size_t Index, const engine::SendHeartbeat &Step);
  void perform(size_t Index, const engine::ForwardCall &Step);
  void perform(size_t Index, const engine::AnswerPeerCall &Step);
  void replyFromEndpoint(size_t Index, uint64_t Incarnation,
                         const engine::SendToEndpoint &Step,
                         engine::EndpointReply Reply);
  engine::EndpointReply applyCommand(fakes::EndpointModel &Model,
                                     const engine::EndpointCommand &Message);
  void watchCalls(const std::string &Name);
  void tick(size_t Index, uint64_t Incarnation);
  bool isSound(const WorldProcess &Process) const;
  void finishDrain(size_t Index);
  void give(size_t Index, const engine::Event &Value);
  void observeWrite(const protocol::StoreRequest &Request,
                    const protocol::StoreReply &Reply);
  void sabotageRun(const std::string &Name, const protocol::RunCommand &Run);
  void sabotageState(const engine::EndpointCommand &Message,
                     engine::EndpointReply &Reply) const;
  protocol::StoreReply applyToStore(const protocol::StoreRequest &Request);
  void record(size_t Index, const engine::RecordEvent &Value);
  void answer(const engine::AnswerCall &Value);
  void tell(const engine::AnswerCall &Value);
  bool chance(int Percent);
  size_t indexOf(const protocol::Address &At) const;
  std::vector<protocol::VmInfo> vmList() const;

  WorldOptions Options;
  std::mt19937_64 Random;
  TimePoint Time = timeAt(1000);
  uint64_t NextOrder = 0;
  RequestToken NextToken = 1;
  std::priority_queue<Message> Messages;
  /// Earlier VM lists, oldest first.
  std::vector<std::pair<TimePoint, std::vector<protocol::VmInfo>>> VmLists;
  protocol::StoreReply FirstHead;               ///< For HideDocument.
  std::optional<engine::AnswerCall> HeldAnswer; ///< For SwapAnswers.
  config::Snapshot Published;
  config::HeadRecord PublishedHead;
  std::vector<config::HeadRecord> Heads; ///< Of the rows of `Documents`.
  protocol::StoreVersion HeadVersion = 0;
  /// Run commands that wait for their task's end: endpoint, attempt.
  struct Waiter {
    std::string Endpoint;
    protocol::AttemptId Id;
    std::function<void(engine::EndpointReply)> Reply;
  };
  std::vector<Waiter> Waiters;
};

/// A document with data centres `dc`, `dc-1` and so on, team `blue` (key
/// `blue-1.secret`), team `red` (key `red-1.secret`), queues `calls`, `batch`,
/// `watch` and an open queue `open`.
config::Document makeDocument(const WorldOptions &Options);

} // namespace teaselwalk::world
