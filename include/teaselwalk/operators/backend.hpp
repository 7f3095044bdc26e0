#pragma once

#include "teaselwalk/base/enum_names.hpp"
#include "teaselwalk/base/time.hpp"
#include "teaselwalk/config/describe.hpp"
#include "teaselwalk/config/head.hpp"

#include <functional>
#include <memory>
#include <vector>

/// What the operators' API needs from the rest of the process.
namespace teaselwalk::operators {

/// The newest configuration that this process knows.
struct CurrentConfig {
  config::HeadRecord Head;
  config::Snapshot Snapshot; ///< Of the head's revision.
};

enum class ProposalState {
  Accepted,    ///< The head is in the store.
  Conflict,    ///< Another change came first; nothing was written.
  Unknown,     ///< The write was sent and its outcome could not be found out.
  Unavailable, ///< No writer or no store; nothing was written.
};

struct ProposalResult {
  ProposalState State = ProposalState::Unavailable;
  config::HeadRecord Newer; ///< For Conflict: the head that is in the store.
};

/// The revision that a data centre follows, by its latest message.
struct InForce {
  DataCentreId DataCentre;
  uint64_t Revision = 0;
  Duration Age{0}; ///< Time since the data centre confirmed the revision.
};

/// Implemented by the entry process, and by a fake in tests. All methods are
/// called on the thread of the operators' server.
class ConfigBackend {
public:
  using Callback = std::function<void(ProposalResult)>;

  virtual ~ConfigBackend() = default;

  /// Null before the first document was read.
  virtual std::shared_ptr<const CurrentConfig> current() = 0;

  /// Writes \p Next in place of the head of revision \p BaseRevision, by this
  /// process or through a writer. Before that, writes the whole copy that
  /// `Next.CopyBefore` asks for. Calls \p Done once, on any thread.
  virtual void propose(uint64_t BaseRevision, const config::NextHead &Next,
                       Callback Done) = 0;

  virtual std::vector<InForce> inForce() = 0;

  /// What the teams have running across the fleet, as far as it is known.
  virtual config::RunningUsage running() = 0;
};

} // namespace teaselwalk::operators
