#include "teaselwalk/config/document.hpp"

#include "document_rules.hpp"
#include "object_reader.hpp"

namespace teaselwalk::config {
namespace {

using Json = nlohmann::json;

// A document is four levels deep; deeper input is hostile.
constexpr int MaxDepth = 16;

std::string element(const std::string &Field, size_t Index) {
  return Field + "[" + std::to_string(Index) + "]";
}

DataCentre readDataCentre(ObjectReader &Reader, const DocumentBounds &Bounds) {
  DataCentre Out;
  Out.Name = DataCentreId(Reader.name("name", Bounds.MaxNameBytes));
  Out.Region = Reader.name("region", Bounds.MaxNameBytes);
  Out.State = Reader.choice("state", DataCentreStateNames);
  Out.Shards = static_cast<uint32_t>(
      Reader.integer("shards", 1, Bounds.MaxShards, "shards"));
  Out.CutOffService = Duration(
      1000 * Reader.integerOr("cut_off_service_s", 0, 0,
                              Bounds.MaxCutOffService.count() / 1000, "s"));
  return Out;
}

SecretHash readSecret(ObjectReader &Reader) {
  return {Reader.hex("salt", 32, 64), Reader.hex("hash", 64, 64)};
}

Resources readLimit(ObjectReader Reader, const Resources &Max) {
  Resources Out;
  Out.MilliCpu = Reader.integer("cpu_millis", 0, Max.MilliCpu, "millicores");
  Out.MemoryMb = Reader.integer("memory_mb", 0, Max.MemoryMb, "MB");
  Out.Accelerators =
      Reader.integer("accelerators", 0, Max.Accelerators, "accelerators");
  Out.Slots = Reader.integer("tasks", 0, Max.Slots, "running tasks");
  Out.Connections = Out.Slots;
  Reader.finish();
  return Out;
}

Team readTeam(ObjectReader &Reader, const DocumentBounds &Bounds,
              MistakeList &Mistakes) {
  Team Out;
  Out.Name = TeamId(Reader.name("name", Bounds.MaxNameBytes));
  Out.Share = Reader.integer("share", 1, Bounds.MaxShare, "(weight)");
  if (const Json *Limit = Reader.object("limit"))
    Out.Limit =
        readLimit({*Limit, Reader.pathOf("limit"), Mistakes}, Bounds.MaxLimit);
  auto Keys = Reader.array("keys", 0, Bounds.MaxKeysPerTeam);
  for (size_t I = 0; I < Keys.size(); ++I) {
    ObjectReader Key(Keys[I], element(Reader.pathOf("keys"), I), Mistakes);
    // Without a dot, because the dot ends the id in the key's text. Not quoted,
    // because someone may paste the whole key here.
    std::string Id = Key.name("id", Bounds.MaxNameBytes, false,
                              ObjectReader::Quote::Nothing);
    Out.Keys.push_back({KeyId(Id), readSecret(Key)});
    Key.finish();
  }
  return Out;
}

Queue readQueue(ObjectReader &Reader, const DocumentBounds &Bounds,
                MistakeList &Mistakes) {
  Queue Out;
  Out.Name = QueueId(Reader.name("name", Bounds.MaxNameBytes));
  Out.Access = Reader.choice("access", QueueAccessNames);
  auto Teams = Reader.array("teams", 1, Bounds.MaxTeams);
  for (size_t I = 0; I < Teams.size(); ++I) {
    bool Valid = Teams[I].is_string() &&
                 isName(Teams[I].get<std::string>(), Bounds.MaxNameBytes, true);
    if (!Valid)
      Mistakes.add(element(Reader.pathOf("teams"), I),
                   "is " + quoted(Teams[I]) + "; must be the name of a team");
    Out.Teams.emplace_back(Valid ? Teams[I].get<std::string>() : "");
  }
  Out.Class = Reader.choice("class", QueueClassNames);
  Out.Deadline = Duration(
      Reader.integer("deadline_ms", 1, Bounds.MaxDeadline.count(), "ms"));
  Out.Overflow = QueueId(Reader.optionalName("overflow", Bounds.MaxNameBytes));
  return Out;
}

Operator readOperator(ObjectReader &Reader, const DocumentBounds &Bounds) {
  std::string Name = Reader.name("name", Bounds.MaxNameBytes, false,
                                 ObjectReader::Quote::Nothing);
  return {Name, readSecret(Reader)};
}

/// Reads each element of array \p Field with \p Read.
template <typename Row, typename Function>
std::vector<Row> readRows(ObjectReader &Reader, const char *Field, size_t Min,
                          size_t Max, MistakeList &Mistakes,
                          const Function &Read) {
  std::vector<Row> Out;
  auto Elements = Reader.array(Field, Min, Max);
  for (size_t I = 0; I < Elements.size(); ++I) {
    ObjectReader Element(Elements[I], element(Field, I), Mistakes);
    Out.push_back(Read(Element));
    Element.finish();
  }
  return Out;
}

/// Parses JSON and notes fields that appear twice, of which the JSON library
/// would silently keep the last.
Json parseStrictly(const std::string &Text, MistakeList &Mistakes) {
  std::vector<std::set<std::string>> Seen;
  bool TooDeep = false;
  auto Check = [&](int Depth, Json::parse_event_t Event, Json &Parsed) {
    using Kind = Json::parse_event_t;
    TooDeep = TooDeep || Depth > MaxDepth;
    if (TooDeep)
      return false;
    if (Event == Kind::object_start)
      Seen.emplace_back();
    if (Event == Kind::object_end)
      Seen.pop_back();
    if (Event == Kind::key &&
        !Seen.back().insert(Parsed.get<std::string>()).second)
      Mistakes.add(Parsed.get<std::string>().substr(0, 40),
                   "appears twice in one object");
    return true;
  };
  Json Out = Json::parse(Text, Check, false);
  if (TooDeep)
    throw InvalidInput("document", "is nested deeper than " +
                                       std::to_string(MaxDepth) + " levels");
  if (Out.is_discarded())
    throw InvalidInput("document", "is not valid JSON in UTF-8");
  return Out;
}

Document read(const Json &Root, const DocumentBounds &Bounds,
              MistakeList &Mistakes) {
  ObjectReader Reader(Root, "", Mistakes);
  Document Out;
  Out.DataCentres = readRows<DataCentre>(
      Reader, "data_centres", 1, Bounds.MaxDataCentres, Mistakes,
      [&](ObjectReader &Row) { return readDataCentre(Row, Bounds); });
  Out.Teams = readRows<Team>(
      Reader, "teams", 1, Bounds.MaxTeams, Mistakes,
      [&](ObjectReader &Row) { return readTeam(Row, Bounds, Mistakes); });
  Out.Queues = readRows<Queue>(
      Reader, "queues", 0, Bounds.MaxQueues, Mistakes,
      [&](ObjectReader &Row) { return readQueue(Row, Bounds, Mistakes); });
  Out.Operators = readRows<Operator>(
      Reader, "operators", 1, Bounds.MaxOperators, Mistakes,
      [&](ObjectReader &Row) { return readOperator(Row, Bounds); });
  Reader.finish();
  checkRules(Out, Mistakes);
  if (!Mistakes.all().empty())
    throw InvalidInput(Mistakes.all());
  indexKeys(Out);
  return Out;
}

void checkSize(size_t Bytes, const DocumentBounds &Bounds) {
  if (Bytes > Bounds.MaxBytes)
    throw InvalidInput("document", "has " + std::to_string(Bytes) +
                                       " bytes; must have at most " +
                                       std::to_string(Bounds.MaxBytes));
}

} // namespace

Document parseDocument(const std::string &Text, const DocumentBounds &Bounds) {
  checkSize(Text.size(), Bounds);
  MistakeList Mistakes;
  Json Root = parseStrictly(Text, Mistakes);
  Document Out = read(Root, Bounds, Mistakes);
  // The canonical text also holds the fields that the input left out.
  checkSize(serialise(Out).size(), Bounds);
  return Out;
}

Document documentFromJson(const Json &Root, const DocumentBounds &Bounds) {
  MistakeList Mistakes;
  Document Out = read(Root, Bounds, Mistakes);
  checkSize(serialise(Out).size(), Bounds);
  return Out;
}

} // namespace teaselwalk::config
