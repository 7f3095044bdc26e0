#include "teaselwalk/cluster/head_record.hpp"

#include "teaselwalk/base/error.hpp"

#include <algorithm>

namespace teaselwalk::cluster {

bool HeadRecord::isWriter(const ProcessId &Process) const {
  return std::find(Writers.begin(), Writers.end(), Process) != Writers.end();
}

const HeadChange *HeadRecord::changeTo(uint64_t Wanted) const {
  auto It = std::find_if(
      Changes.begin(), Changes.end(),
      [&](const HeadChange &Change) { return Change.Revision == Wanted; });
  return It == Changes.end() ? nullptr : &*It;
}

HeadRecord HeadRecord::with(HeadChange Change, std::string NewDigest) const {
  HeadRecord Next = *this;
  Next.Revision = Revision + 1;
  Next.Digest = std::move(NewDigest);
  Change.Revision = Next.Revision;
  Next.Changes.push_back(std::move(Change));
  if (Next.Changes.size() > MaxHeadChanges)
    Next.Changes.erase(Next.Changes.begin());
  return Next;
}

std::string encodeHead(const HeadRecord &Value) {
  nlohmann::json Writers = nlohmann::json::array();
  for (const ProcessId &Process : Value.Writers)
    Writers.push_back(Process.str());
  nlohmann::json Changes = nlohmann::json::array();
  for (const HeadChange &Change : Value.Changes)
    Changes.push_back({{"revision", Change.Revision},
                       {"write", Change.Write},
                       {"who", Change.Who},
                       {"why", Change.Why},
                       {"patch", Change.Patch}});
  return nlohmann::json{{"revision", Value.Revision},
                        {"writers", std::move(Writers)},
                        {"digest", Value.Digest},
                        {"changes", std::move(Changes)}}
      .dump();
}

HeadRecord decodeHead(const std::string &Text) {
  try {
    nlohmann::json Json = nlohmann::json::parse(Text);
    HeadRecord Value;
    Value.Revision = Json.at("revision").get<uint64_t>();
    Value.Digest = Json.at("digest").get<std::string>();
    for (const nlohmann::json &Row : Json.at("writers"))
      Value.Writers.emplace_back(Row.get<std::string>());
    for (const nlohmann::json &Row : Json.at("changes"))
      Value.Changes.push_back(
          {Row.at("revision").get<uint64_t>(),
           Row.at("write").get<std::string>(), Row.at("who").get<std::string>(),
           Row.at("why").get<std::string>(), Row.at("patch")});
    return Value;
  } catch (const nlohmann::json::exception &Problem) {
    throw InvalidInput("config/head", Problem.what());
  }
}

} // namespace teaselwalk::cluster
