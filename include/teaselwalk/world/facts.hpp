#pragma once

#include "teaselwalk/config/document.hpp"
#include "teaselwalk/engine/action.hpp"

#include <optional>
#include <string>
#include <vector>

/// What was sent and answered, as seen from outside the entry processes.
namespace teaselwalk::world {

/// A deliberate fault of the surroundings, for tests of the checks.
enum class Sabotage {
  None,
  DoubleCapacity, ///< Endpoints report and admit twice what the VM has.
  TwoOwners,      ///< Endpoints ignore epochs and no heartbeat arrives.
  HideDocument,   ///< Reads of the head never show a change.
  GhostTask,      ///< Endpoints run unknown tasks beside each task.
  SwapAnswers,    ///< Callers receive each other's answers.
  LieNotSent,     ///< A start that took effect is reported as not sent.
  RunAgain,       ///< Endpoints run each attempt again at its end.
  HideLeaving,    ///< Neither endpoints nor VM list say who leaves.
  KillOnDrain,    ///< A planned stop kills the process.
  DropChange,     ///< A change is confirmed and not written.
};

/// A quick call and what its caller was told.
struct CallFact {
  size_t Process = 0;
  uint64_t Incarnation = 0;
  TimePoint SentAt;
  TimePoint SoundSince; ///< Of the process when the call was sent.
  protocol::CallRequest Request;
  std::string Expected; ///< The result that its payload names.
  std::optional<protocol::CallAnswer> Answer;
  TimePoint AnsweredAt;
};

/// A submission of a job.
struct JobFact {
  TimePoint SentAt;
  protocol::JobRequest Request;
  std::optional<engine::AnswerJob> Answer;
};

/// A document that the store took.
struct DocumentFact {
  TimePoint At;
  uint64_t Revision = 0;
  config::Document Content;
};

/// What an operator proposed and was told.
struct ProposalFact {
  std::string Text;
  std::optional<engine::AnswerProposal> Answer;
};

/// A time in which an endpoint was leaving.
struct LeavingFact {
  TimePoint From;
  TimePoint Until = TimePoint::max();
};

} // namespace teaselwalk::world
