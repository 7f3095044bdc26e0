#include "teaselwalk/cluster/digest.hpp"

#include "teaselwalk/base/error.hpp"

#include <nlohmann/json.hpp>

namespace teaselwalk::cluster {
namespace {

nlohmann::json rowJson(const DigestRow &Row) {
  return {Row.DataCentre.str(), Row.Age.count(),  Row.Revision, Row.Processes,
          Row.FreeMilliCpu,     Row.FreeMemoryMb, Row.At.Ip,    Row.At.Port};
}

DigestRow rowFrom(const nlohmann::json &Json) {
  DigestRow Row;
  Row.DataCentre = DataCentreId(Json.at(0).get<std::string>());
  Row.Age = Duration(Json.at(1).get<int64_t>());
  Row.Revision = Json.at(2).get<uint64_t>();
  Row.Processes = Json.at(3).get<uint32_t>();
  Row.FreeMilliCpu = Json.at(4).get<int64_t>();
  Row.FreeMemoryMb = Json.at(5).get<int64_t>();
  Row.At = {Json.at(6).get<std::string>(), Json.at(7).get<uint16_t>()};
  return Row;
}

/// Builds the text of a JSON array within a byte budget that it shares with
/// other arrays.
class BoundedArray {
public:
  explicit BoundedArray(size_t &BytesLeft) : BytesLeft(BytesLeft) {}

  /// Appends \p Item; false if it does not fit into the rest of the budget.
  bool add(const nlohmann::json &Item) {
    std::string Next = (Text.empty() ? "" : ",") + Item.dump();
    if (Next.size() > BytesLeft)
      return false;
    BytesLeft -= Next.size();
    Text += Next;
    return true;
  }
  std::string text() const { return "[" + Text + "]"; }

private:
  size_t &BytesLeft;
  std::string Text;
};

} // namespace

std::string encodeDigest(const Digest &Value, size_t FirstOther) {
  std::string Start =
      "{\"from\":" + nlohmann::json(Value.From.str()).dump() + ",\"rows\":";
  std::string Middle = ",\"attested\":";
  size_t Fixed = Start.size() + Middle.size() + std::string("[][]}").size();
  size_t BytesLeft = MaxDigestBytes > Fixed ? MaxDigestBytes - Fixed : 0;
  BoundedArray Rows(BytesLeft);
  BoundedArray Attested(BytesLeft);
  if (!Value.Rows.empty())
    Rows.add(rowJson(Value.Rows.front()));
  for (const protocol::Attestation &Item : Value.Attestations)
    Attested.add({Item.Writer.str(), Item.Revision, Item.Age.count()});
  size_t Others = Value.Rows.empty() ? 0 : Value.Rows.size() - 1;
  for (size_t I = 0; I < Others; ++I)
    if (!Rows.add(rowJson(Value.Rows[1 + (I + FirstOther) % Others])))
      break;
  return Start + Rows.text() + Middle + Attested.text() + "}";
}

Digest decodeDigest(const std::string &Text) {
  if (Text.size() > MaxDigestBytes)
    throw InvalidInput("digest", "must be at most 2048 bytes");
  try {
    nlohmann::json Json = nlohmann::json::parse(Text);
    Digest Value;
    Value.From = ProcessId(Json.at("from").get<std::string>());
    for (const nlohmann::json &Row : Json.at("rows"))
      Value.Rows.push_back(rowFrom(Row));
    for (const nlohmann::json &Row : Json.at("attested"))
      Value.Attestations.push_back({ProcessId(Row.at(0).get<std::string>()),
                                    Row.at(1).get<uint64_t>(),
                                    Duration(Row.at(2).get<int64_t>())});
    return Value;
  } catch (const nlohmann::json::exception &Problem) {
    throw InvalidInput("digest", Problem.what());
  }
}

} // namespace teaselwalk::cluster
