#pragma once

#include "teaselwalk/cluster/document_freshness.hpp"
#include "teaselwalk/config/head.hpp"
#include "teaselwalk/engine/command_dispatcher.hpp"
#include "teaselwalk/engine/options.hpp"

#include <string>

namespace teaselwalk::engine {

/// This process's copy of the configuration document. Follows `config/head` in
/// the store, tracks how fresh the copy is, and writes operators' changes.
class DocumentFollower {
public:
  DocumentFollower(const EngineOptions &Options, CommandDispatcher &Commands);

  /// Reads `config/head` when a read is due.
  void tick(TimePoint Now);

  const config::Snapshot &snapshot() const { return Current; }
  const config::Document &document() const { return Current.Content; }
  uint64_t revision() const { return Current.Revision; }
  const config::HeadRecord &head() const { return Head; }
  cluster::DocumentFreshness &freshness() { return Freshness; }
  const cluster::DocumentFreshness &freshness() const { return Freshness; }

  /// A peer, asked at \p BeforeRequest, answered that its confirmation of
  /// \p Revision had the age \p Age.
  void onPeer(uint64_t Revision, Duration Age, TimePoint BeforeRequest);

  /// Writes \p Change as the next revision, if it is based on the current one,
  /// and emits an `AnswerProposal` with the outcome.
  void propose(const ProposalReceived &Change, TimePoint Now);

private:
  void readHead(TimePoint Now);
  void onHead(const protocol::StoreReply &Reply, TimePoint SentAt,
              TimePoint Now);
  void followHead(const config::HeadRecord &Next, TimePoint Now);
  void readCopy(uint64_t Revision, TimePoint Now);
  void onNewDocument();
  void writeHead(const config::NextHead &Next, RequestToken From);
  void answer(RequestToken To, ProposalOutcome Outcome, uint64_t Revision);

  const EngineOptions &Options;
  CommandDispatcher &Commands;
  cluster::DocumentFreshness Freshness;
  config::Snapshot Current;
  config::HeadRecord Head; ///< The newest head that was read.
  protocol::StoreVersion HeadVersion = 0;
  TimePoint NextRead;
  TimePoint LastRead;
  bool IsReading = false; ///< A read of the head or a document is in flight.
};

} // namespace teaselwalk::engine
