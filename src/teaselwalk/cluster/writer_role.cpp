#include "teaselwalk/cluster/writer_role.hpp"

#include <algorithm>

namespace teaselwalk::cluster {

using protocol::StoreOperation;
using protocol::StoreReply;
using protocol::StoreRequest;
using protocol::StoreStatus;

void WriterRole::onHead(const HeadRecord &Read,
                        protocol::StoreVersion ReadVersion) {
  if (ReadVersion <= Version)
    return;
  Head = Read;
  Version = ReadVersion;
  // Another version means that the write in flight can no longer take effect,
  // unless it is the one that led to it.
  if (Outcome == HeadWrite::InFlight && ReadVersion != Expected)
    settle(Read);
}

std::optional<protocol::Attestation> WriterRole::attestation() const {
  if (!isWriter() || Outcome == HeadWrite::InFlight)
    return std::nullopt;
  return protocol::Attestation{Self, Head.Revision, Duration(0)};
}

std::optional<StoreRequest> WriterRole::start(HeadRecord NextHead,
                                              protocol::StoreVersion On) {
  if (Outcome == HeadWrite::InFlight)
    return std::nullopt;
  Proposed = std::move(NextHead);
  Expected = On;
  Outcome = HeadWrite::InFlight;
  Next = Step::Write;
  MayHaveLanded = false;
  return request();
}

std::optional<StoreRequest> WriterRole::begin(HeadChange Change,
                                              std::string NewDigest) {
  if (!isWriter())
    return std::nullopt;
  return start(Head.with(std::move(Change), std::move(NewDigest)), Version);
}

std::optional<StoreRequest>
WriterRole::changeWriters(std::vector<ProcessId> Writers, std::string WriteId) {
  if (!isWriter() || Writers.empty() || Writers.size() > MaxWriters)
    return std::nullopt;
  HeadChange Change;
  Change.Write = std::move(WriteId);
  Change.Who = Self.str();
  Change.Why = "change of writers";
  HeadRecord NextHead = Head.with(std::move(Change), Head.Digest);
  NextHead.Writers = std::move(Writers);
  return start(std::move(NextHead), Version);
}

std::optional<StoreRequest> WriterRole::beginAdd(const ProcessId &Process,
                                                 std::string WriteId) {
  if (Head.isWriter(Process))
    return std::nullopt;
  std::vector<ProcessId> Writers = Head.Writers;
  Writers.push_back(Process);
  return changeWriters(std::move(Writers), std::move(WriteId));
}

std::optional<StoreRequest> WriterRole::beginRemove(const ProcessId &Process,
                                                    std::string WriteId) {
  if (!Head.isWriter(Process))
    return std::nullopt;
  std::vector<ProcessId> Writers = Head.Writers;
  Writers.erase(std::remove(Writers.begin(), Writers.end(), Process),
                Writers.end());
  return changeWriters(std::move(Writers), std::move(WriteId));
}

std::optional<StoreRequest> WriterRole::beginCreate(HeadChange Change,
                                                    std::string Digest) {
  if (Version != 0)
    return std::nullopt;
  HeadRecord First = HeadRecord().with(std::move(Change), std::move(Digest));
  First.Writers = {Self};
  return start(std::move(First), 0);
}

StoreRequest WriterRole::request() const {
  StoreRequest Request;
  Request.Key = "config/head";
  if (Next == Step::Read)
    return Request;
  Request.Operation = StoreOperation::Write;
  Request.Value = encodeHead(Proposed);
  Request.Expected = Expected;
  return Request;
}

void WriterRole::settle(const HeadRecord &Read) {
  const HeadChange *There = Read.changeTo(Proposed.Revision);
  if (There)
    Outcome = There->Write == Proposed.Changes.back().Write
                  ? HeadWrite::Applied
                  : HeadWrite::NotApplied;
  else
    Outcome = Read.Revision < Proposed.Revision || !MayHaveLanded
                  ? HeadWrite::NotApplied
                  : HeadWrite::Unresolved;
}

std::optional<StoreRequest> WriterRole::onReply(const StoreReply &Reply) {
  if (Outcome != HeadWrite::InFlight)
    return std::nullopt;
  if (Next == Step::Write) {
    switch (Reply.Status) {
    case StoreStatus::Ok:
      Head = Proposed;
      Version = Reply.Version;
      Outcome = HeadWrite::Applied;
      return std::nullopt;
    case StoreStatus::NotSent:
    case StoreStatus::Refused:
      if (MayHaveLanded)
        break; // An earlier attempt may still take effect.
      Outcome = HeadWrite::NotApplied;
      return std::nullopt;
    case StoreStatus::Lost:
      MayHaveLanded = true;
      break;
    default:
      break;
    }
    Next = Step::Read;
    return request();
  }
  if (Reply.Status == StoreStatus::Ok) {
    if (Reply.Version == Expected) {
      // The lost write may still be on its way.
      Next = Step::Write;
      return request();
    }
    onHead(decodeHead(Reply.Value), Reply.Version);
    return std::nullopt;
  }
  if (Reply.Status == StoreStatus::NotFound && Expected == 0)
    Next = Step::Write;
  return request();
}

} // namespace teaselwalk::cluster
