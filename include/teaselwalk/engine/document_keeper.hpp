#pragma once

#include "teaselwalk/cluster/document_freshness.hpp"
#include "teaselwalk/config/head.hpp"
#include "teaselwalk/engine/commands.hpp"
#include "teaselwalk/engine/options.hpp"

#include <string>

namespace teaselwalk::engine {

/// Follows `config/head`, keeps the document in force and its age, and writes
/// operators' changes.
class DocumentKeeper {
public:
  DocumentKeeper(const EngineOptions &Options, Commands &Out);

  /// Reads the head when it is due.
  void tick(TimePoint Now);

  const config::Snapshot &snapshot() const { return Current; }
  const config::Document &document() const { return Current.Content; }
  uint64_t revision() const { return Current.Revision; }
  const config::HeadRecord &head() const { return Head; }
  cluster::DocumentFreshness &freshness() { return Freshness; }
  const cluster::DocumentFreshness &freshness() const { return Freshness; }

  /// A peer answered that it confirmed \p Revision \p Age ago.
  void onPeer(uint64_t Revision, Duration Age, TimePoint BeforeRequest);

  /// Writes the head of \p Change as the next revision and answers with an
  /// `AnswerProposal` action.
  void propose(const ProposalReceived &Change, TimePoint Now);

private:
  void readHead(TimePoint Now);
  void onHead(const protocol::StoreReply &Reply, TimePoint SentAt,
              TimePoint Now);
  void follow(const config::HeadRecord &Next, TimePoint Now);
  void readCopy(uint64_t Revision, TimePoint Now);
  void adopted();
  void writeHead(const config::NextHead &Next, RequestToken From);
  void answer(RequestToken To, ProposalOutcome Outcome, uint64_t Revision);

  const EngineOptions &Options;
  Commands &Out;
  cluster::DocumentFreshness Freshness;
  config::Snapshot Current;
  config::HeadRecord Head; ///< The newest that was read.
  protocol::StoreVersion HeadVersion = 0;
  TimePoint NextRead;
  TimePoint LastRead;
  bool Reading = false;
};

} // namespace teaselwalk::engine
