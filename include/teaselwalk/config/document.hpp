#pragma once

#include "teaselwalk/base/enum_names.hpp"
#include "teaselwalk/base/id.hpp"
#include "teaselwalk/base/resources.hpp"
#include "teaselwalk/base/time.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

/// The configuration document that operators write and every process follows.
namespace teaselwalk::config {

/// `Draining` starts nothing new; `Out` also stops what runs.
enum class DataCentreState { In, Draining, Out };

constexpr std::array<EnumName<DataCentreState>, 3> DataCentreStateNames = {{
    {DataCentreState::In, "in"},
    {DataCentreState::Draining, "draining"},
    {DataCentreState::Out, "out"},
}};

struct DataCentre {
  DataCentreId Name;
  std::string Region;
  DataCentreState State = DataCentreState::In;
  uint32_t Shards = 3;
  /// For how much longer the document stays valid while the data centre is cut
  /// off from the store and the writers.
  Duration CutOffService{0};
};

/// What is kept of a key or credential: the secret itself is not stored.
struct SecretHash {
  std::string Salt; ///< Lower-case hexadecimal.
  std::string Hash; ///< SHA-256 of salt and secret, lower-case hexadecimal.
};

struct TeamKey {
  KeyId Id;
  SecretHash Secret;
};

struct Team {
  TeamId Name;
  int64_t Share = 1; ///< Weight relative to the shares of the other teams.
  /// Upper limit over the whole fleet. `Slots` is the number of running tasks;
  /// `Connections` equals it, because a task uses one connection.
  Resources Limit;
  std::vector<TeamKey> Keys;
};

enum class QueueAccess { Keyed, Open };

constexpr std::array<EnumName<QueueAccess>, 2> QueueAccessNames = {{
    {QueueAccess::Keyed, "keyed"},
    {QueueAccess::Open, "open"},
}};

enum class QueueClass { Urgent, Service, Call, Batch };

constexpr std::array<EnumName<QueueClass>, 4> QueueClassNames = {{
    {QueueClass::Urgent, "urgent"},
    {QueueClass::Service, "service"},
    {QueueClass::Call, "call"},
    {QueueClass::Batch, "batch"},
}};

struct Queue {
  QueueId Name;
  QueueAccess Access = QueueAccess::Keyed;
  std::vector<TeamId> Teams; ///< Exactly one for an open queue: it is charged.
  QueueClass Class = QueueClass::Batch;
  Duration Deadline{0}; ///< Longest wait in the queue.
  QueueId Overflow;     ///< Used when this queue is full; empty for none.
};

struct Operator {
  std::string Name;
  SecretHash Secret;
};

/// Where a key is in `Document::Teams`.
struct KeyPlace {
  size_t Team = 0;
  size_t Key = 0;
};

struct Document {
  std::vector<DataCentre> DataCentres;
  std::vector<Team> Teams;
  std::vector<Queue> Queues;
  std::vector<Operator> Operators;
  /// Filled by `parseDocument`, and by `indexKeys` for a document made by hand.
  std::unordered_map<KeyId, KeyPlace> KeyIndex;
};

/// Bounds of a document. Outside of them it is refused as a whole.
struct DocumentBounds {
  /// Below the store's 1 MB, so that a head with the whole document as one
  /// change still fits.
  size_t MaxBytes = 960000;
  size_t MaxDataCentres = 64;
  size_t MaxTeams = 1000;
  size_t MaxKeysPerTeam = 16;
  size_t MaxQueues = 1000;
  size_t MaxOperators = 100;
  size_t MaxNameBytes = 64;
  int64_t MaxShards = 64;
  int64_t MaxShare = 1000000;
  Duration MaxCutOffService{3600000};
  Duration MaxDeadline{604800000}; ///< A week.
  Resources MaxLimit{1000000000, 1000000000000, 1000000, 1000000, 1000000};
};

/// Reads and checks a document. Throws `InvalidInput` with every mistake.
Document parseDocument(const std::string &Text,
                       const DocumentBounds &Bounds = {});

/// The same for JSON that was read before.
Document documentFromJson(const nlohmann::json &Json,
                          const DocumentBounds &Bounds = {});

/// Every field, in the order of the document.
nlohmann::json toJson(const Document &Value);

/// The canonical text: equal documents have equal text.
std::string serialise(const Document &Value);

/// SHA-256 of the canonical text, in hexadecimal.
std::string digestOf(const Document &Value);

/// Rebuilds `KeyIndex`.
void indexKeys(Document &Value);

/// The object of that name, or null.
const DataCentre *findDataCentre(const Document &In, const DataCentreId &Name);
const Team *findTeam(const Document &In, const TeamId &Name);
const Queue *findQueue(const Document &In, const QueueId &Name);

} // namespace teaselwalk::config
