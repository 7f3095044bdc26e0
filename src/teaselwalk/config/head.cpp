#include "teaselwalk/config/head.hpp"

#include "teaselwalk/base/error.hpp"

namespace teaselwalk::config {
namespace {

using Json = nlohmann::json;

/// The shorter of the difference and a replacement of the whole, so that one
/// change is never much larger than the document.
Json patchBetween(const Json &Old, const Json &New) {
  Json Steps = Json::diff(Old, New);
  Json Whole = Json::array({{{"op", "replace"}, {"path", ""}, {"value", New}}});
  return Steps.dump().size() <= Whole.dump().size() ? Steps : Whole;
}

/// Text that is not UTF-8 cannot be written as JSON.
bool isUtf8(const std::string &Text) {
  try {
    return !Json(Text).dump().empty();
  } catch (const Json::exception &) {
    return false;
  }
}

void checkNote(const ChangeNote &Note, const HeadBounds &Bounds) {
  std::vector<FieldError> Errors;
  auto Check = [&](const char *Field, const std::string &Text, size_t Max) {
    if (Text.empty() || Text.size() > Max || !isUtf8(Text))
      Errors.push_back({Field, "has " + std::to_string(Text.size()) +
                                   " bytes; must be UTF-8 text of 1 to " +
                                   std::to_string(Max) + " bytes"});
  };
  Check("who", Note.Who, Bounds.MaxWhoBytes);
  Check("why", Note.Why, Bounds.MaxWhyBytes);
  if (!Errors.empty())
    throw InvalidInput(std::move(Errors));
}

/// Drops the oldest changes until the head is within its bounds. Returns false
/// if that would leave a gap between the newest copy and the oldest change.
bool trim(HeadRecord &Head, const HeadBounds &Bounds) {
  auto TooLarge = [&] {
    return Head.Changes.size() > Bounds.MaxChanges ||
           serialise(Head).size() > Bounds.MaxBytes;
  };
  while (Head.Changes.size() > 1 && TooLarge())
    Head.Changes.erase(Head.Changes.begin());
  return Head.Changes.front().Revision <= Head.Copy + 1;
}

Json changeToJson(const Change &Value) {
  return {{"revision", Value.Revision},
          {"patch", Value.Patch},
          {"who", Value.Who},
          {"when_ms", Value.WhenMs},
          {"why", Value.Why}};
}

Change changeFromJson(const Json &Value) {
  Change Out;
  Out.Revision = Value.at("revision").get<uint64_t>();
  Out.Patch = Value.at("patch");
  Out.Who = Value.at("who").get<std::string>();
  Out.WhenMs = Value.at("when_ms").get<int64_t>();
  Out.Why = Value.at("why").get<std::string>();
  return Out;
}

Writer writerFromJson(const Json &Value) {
  return {
      ProcessId(Value.at("process").get<std::string>()),
      {Value.at("ip").get<std::string>(), Value.at("port").get<uint16_t>()}};
}

HeadRecord headFromJson(const Json &Value) {
  HeadRecord Out;
  Out.Revision = Value.at("revision").get<uint64_t>();
  Out.Digest = Value.at("digest").get<std::string>();
  Out.Copy = Value.at("copy").get<uint64_t>();
  for (const Json &Row : Value.at("writers"))
    Out.Writers.push_back(writerFromJson(Row));
  for (const Json &Row : Value.at("changes"))
    Out.Changes.push_back(changeFromJson(Row));
  return Out;
}

void checkConsistent(const HeadRecord &Head, const HeadBounds &Bounds) {
  bool Sound = Head.Revision > 0 && Head.Copy < Head.Revision &&
               !Head.Changes.empty() &&
               Head.Changes.size() <= Bounds.MaxChanges &&
               Head.Writers.size() <= Bounds.MaxWriters &&
               Head.Changes.back().Revision == Head.Revision &&
               Head.Changes.front().Revision <= Head.Copy + 1;
  for (size_t I = 1; Sound && I < Head.Changes.size(); ++I)
    Sound = Head.Changes[I].Revision == Head.Changes[I - 1].Revision + 1;
  if (!Sound)
    throw Error("config/head of revision " + std::to_string(Head.Revision) +
                " contradicts itself");
}

} // namespace

std::string documentKey(uint64_t Revision) {
  return "config/document/" + std::to_string(Revision);
}

std::string serialise(const HeadRecord &Head) {
  Json Writers = Json::array();
  for (const Writer &Row : Head.Writers)
    Writers.push_back({{"process", Row.Process.str()},
                       {"ip", Row.At.Ip},
                       {"port", Row.At.Port}});
  Json Changes = Json::array();
  for (const Change &Row : Head.Changes)
    Changes.push_back(changeToJson(Row));
  return Json{{"revision", Head.Revision},
              {"writers", Writers},
              {"digest", Head.Digest},
              {"copy", Head.Copy},
              {"changes", Changes}}
      .dump();
}

HeadRecord parseHead(const std::string &Text, const HeadBounds &Bounds) {
  HeadRecord Out;
  try {
    Out = headFromJson(Json::parse(Text));
  } catch (const Json::exception &) {
    throw Error("config/head is not readable: " + std::to_string(Text.size()) +
                " bytes that are not a head record");
  }
  checkConsistent(Out, Bounds);
  return Out;
}

Json canonicalOf(const Snapshot &Value) {
  return Value.Revision == 0 ? Json::object() : toJson(Value.Content);
}

NextHead nextHead(const HeadRecord &Current, const Snapshot &Base,
                  const Document &Document, const ChangeNote &Note,
                  const HeadBounds &Bounds) {
  checkNote(Note, Bounds);
  bool BaseMatches =
      Base.Revision == Current.Revision &&
      (Base.Revision == 0 || digestOf(Base.Content) == Current.Digest);
  if (!BaseMatches)
    throw Error("the document of revision " + std::to_string(Base.Revision) +
                " is not the one of the head, revision " +
                std::to_string(Current.Revision));
  NextHead Out;
  Out.Head = Current;
  Out.Head.Revision = Current.Revision + 1;
  Out.Head.Digest = digestOf(Document);
  Out.Head.Changes.push_back({Out.Head.Revision,
                              patchBetween(canonicalOf(Base), toJson(Document)),
                              Note.Who, Note.WhenMs, Note.Why});
  bool Due = Current.Revision > 0 && Current.Revision % Bounds.CopyEvery == 0;
  bool Whole = trim(Out.Head, Bounds);
  if (Due || !Whole) {
    Out.Head.Copy = Current.Revision;
    Out.CopyBefore = true;
  }
  return Out;
}

AdvanceState advance(Snapshot &Base, const HeadRecord &Head,
                     const DocumentBounds &Bounds) {
  if (Head.Revision < Base.Revision)
    return AdvanceState::Older;
  if (Head.Revision == Base.Revision) {
    if (Base.Revision > 0 && digestOf(Base.Content) != Head.Digest)
      throw Error("two documents claim revision " +
                  std::to_string(Base.Revision));
    return AdvanceState::Same;
  }
  if (Head.Changes.empty() || Head.Changes.front().Revision > Base.Revision + 1)
    return AdvanceState::NeedsCopy;
  Snapshot Next;
  Next.Revision = Head.Revision;
  try {
    Json Content = canonicalOf(Base);
    for (const Change &Row : Head.Changes)
      if (Row.Revision > Base.Revision)
        Content = Content.patch(Row.Patch);
    Next.Content = documentFromJson(Content, Bounds);
  } catch (const Json::exception &) {
    throw Error("the changes up to revision " + std::to_string(Head.Revision) +
                " do not fit the document of revision " +
                std::to_string(Base.Revision));
  }
  if (digestOf(Next.Content) != Head.Digest)
    throw Error("the digest of revision " + std::to_string(Head.Revision) +
                " does not match");
  Base = std::move(Next);
  return AdvanceState::Advanced;
}

Snapshot snapshotOf(uint64_t Revision, const std::string &Text,
                    const DocumentBounds &Bounds) {
  return {Revision, parseDocument(Text, Bounds)};
}

} // namespace teaselwalk::config
