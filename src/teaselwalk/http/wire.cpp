#include "wire.hpp"

#include <algorithm>
#include <charconv>

namespace teaselwalk::http {
namespace {

using Progress = ResponseReader::Progress;

constexpr std::string_view LineBreak = "\r\n";
constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr size_t MaxHeadBytes = 8192;
constexpr size_t MaxChunkLineBytes = 1024;

void appendField(std::string &Out, std::string_view Name,
                 std::string_view Value) {
  Out.append(Name).append(": ").append(Value).append(LineBreak);
}

/// Methods of which a request states its length also without a body.
bool expectsBody(const std::string &Method) {
  return Method == "POST" || Method == "PUT" || Method == "PATCH";
}

char lowerOf(char Letter) {
  return Letter >= 'A' && Letter <= 'Z' ? static_cast<char>(Letter | 0x20)
                                        : Letter;
}

/// \p Lower must be in lower case.
bool equalsIgnoringCase(std::string_view Text, std::string_view Lower) {
  return Text.size() == Lower.size() &&
         std::equal(Text.begin(), Text.end(), Lower.begin(),
                    [](char A, char B) { return lowerOf(A) == B; });
}

std::string_view trimmed(std::string_view Text) {
  size_t First = Text.find_first_not_of(" \t");
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(" \t") - First + 1);
}

/// Removes the first element of the list \p Rest and returns it.
std::string_view nextToken(std::string_view &Rest) {
  size_t End = std::min(Rest.find(','), Rest.size());
  std::string_view Token = trimmed(Rest.substr(0, End));
  Rest.remove_prefix(std::min(End + 1, Rest.size()));
  return Token;
}

bool isFieldName(std::string_view Name) {
  return !Name.empty() && std::all_of(Name.begin(), Name.end(), [](char C) {
    return C > ' ' && C < 0x7f && C != ':';
  });
}

/// Reads a whole number without sign.
bool readNumber(std::string_view Text, int Base, size_t &Value) {
  auto Parsed =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value, Base);
  return Parsed.ec == std::errc() && Parsed.ptr == Text.data() + Text.size();
}

} // namespace

std::string encodeRequest(const protocol::Address &Peer,
                          const Request &Message) {
  constexpr size_t FieldReserve = 160;
  std::string Out;
  Out.reserve(Message.Method.size() + Message.Target.size() +
              Message.Body.size() + Message.Bearer.size() +
              Message.Headers.size() * FieldReserve + FieldReserve);
  Out.append(Message.Method).append(" ").append(Message.Target);
  Out.append(" HTTP/1.1\r\n");
  appendField(Out, "Host", Peer.Ip + ':' + std::to_string(Peer.Port));
  appendField(Out, "Content-Type", "application/json");
  if (!Message.Bearer.empty())
    appendField(Out, "Authorization", "Bearer " + Message.Bearer);
  if (!Message.RequestId.empty())
    appendField(Out, "X-Request-Id", Message.RequestId);
  for (const auto &[Name, Value] : Message.Headers)
    appendField(Out, Name, Value);
  if (!Message.Body.empty() || expectsBody(Message.Method))
    appendField(Out, "Content-Length", std::to_string(Message.Body.size()));
  return Out.append(LineBreak).append(Message.Body);
}

void ResponseReader::reset(size_t MaxBody) {
  MaxBodyBytes = MaxBody;
  Pending.clear();
  Message.Body.clear();
  Message.ContentType.clear();
  BodyFraming = Framing::UntilClose;
  NextPart = ChunkPart::Size;
  Remaining = 0;
  HasHead = false;
  KeepAlive = true;
}

Progress ResponseReader::feed(std::string_view Bytes) {
  std::string Joined;
  if (!Pending.empty()) {
    Joined = std::move(Pending);
    Pending.clear();
    Joined.append(Bytes);
    Bytes = Joined;
  }
  while (!HasHead) {
    Progress State = readHead(Bytes);
    if (State != Progress::Complete)
      return State;
    // An interim response precedes the final one.
    HasHead = Message.Status >= 200;
  }
  return readBody(Bytes);
}

Progress ResponseReader::finish() const {
  return HasHead && BodyFraming == Framing::UntilClose ? Progress::Complete
                                                       : Progress::Malformed;
}

Progress ResponseReader::readHead(std::string_view &Bytes) {
  size_t End = Bytes.find(HeadEnd);
  if (std::min(End, Bytes.size()) > MaxHeadBytes)
    return Progress::Malformed;
  if (End == std::string_view::npos) {
    Pending = Bytes;
    return Progress::Incomplete;
  }
  std::string_view Head = Bytes.substr(0, End + LineBreak.size());
  Bytes.remove_prefix(End + HeadEnd.size());
  BodyFraming = Framing::UntilClose;
  bool First = true;
  while (!Head.empty()) {
    size_t Length = Head.find(LineBreak);
    std::string_view Line = Head.substr(0, Length);
    Head.remove_prefix(Length + LineBreak.size());
    if (!(First ? readStatusLine(Line) : readField(Line)))
      return Progress::Malformed;
    First = false;
  }
  return Progress::Complete;
}

bool ResponseReader::readStatusLine(std::string_view Line) {
  constexpr std::string_view Protocol = "HTTP/1.";
  constexpr size_t CodeAt = 9;
  constexpr size_t CodeLength = 3;
  size_t Code = 0;
  size_t CodeEnd = CodeAt + CodeLength;
  if (Line.size() < CodeEnd || Line.substr(0, Protocol.size()) != Protocol ||
      Line[CodeAt - 1] != ' ' ||
      !readNumber(Line.substr(CodeAt, CodeLength), 10, Code) || Code < 100 ||
      (Line.size() > CodeEnd && Line[CodeEnd] != ' '))
    return false;
  char Version = Line[Protocol.size()];
  KeepAlive = Version == '1';
  Message.Status = static_cast<int>(Code);
  return Version == '0' || Version == '1';
}

bool ResponseReader::readField(std::string_view Line) {
  size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos || !isFieldName(Line.substr(0, Colon)))
    return false;
  std::string_view Name = Line.substr(0, Colon);
  std::string_view Value = trimmed(Line.substr(Colon + 1));
  if (equalsIgnoringCase(Name, "content-length"))
    return readLength(Value);
  if (equalsIgnoringCase(Name, "transfer-encoding"))
    return readTransferEncoding(Value);
  if (equalsIgnoringCase(Name, "connection"))
    return readConnection(Value);
  if (equalsIgnoringCase(Name, "content-type"))
    Message.ContentType = Value;
  return true;
}

bool ResponseReader::readLength(std::string_view Value) {
  size_t Length = 0;
  if (!readNumber(Value, 10, Length) || Length > MaxBodyBytes ||
      BodyFraming == Framing::Chunked ||
      (BodyFraming == Framing::Length && Length != Remaining))
    return false;
  BodyFraming = Framing::Length;
  Remaining = Length;
  return true;
}

bool ResponseReader::readTransferEncoding(std::string_view Value) {
  if (BodyFraming != Framing::UntilClose ||
      !equalsIgnoringCase(Value, "chunked"))
    return false;
  BodyFraming = Framing::Chunked;
  return true;
}

bool ResponseReader::readConnection(std::string_view Value) {
  while (!Value.empty()) {
    std::string_view Token = nextToken(Value);
    if (equalsIgnoringCase(Token, "close"))
      KeepAlive = false;
    else if (equalsIgnoringCase(Token, "keep-alive"))
      KeepAlive = true;
  }
  return true;
}

Progress ResponseReader::readBody(std::string_view Bytes) {
  if (Message.Status == 204 || Message.Status == 304)
    return complete(Bytes);
  if (BodyFraming == Framing::Chunked)
    return readChunks(Bytes);
  if (BodyFraming == Framing::UntilClose) {
    KeepAlive = false;
    Message.Body.append(Bytes);
    return Message.Body.size() > MaxBodyBytes ? Progress::Malformed
                                              : Progress::Incomplete;
  }
  std::string_view Part = Bytes.substr(0, Remaining);
  Message.Body.append(Part);
  Remaining -= Part.size();
  return Remaining > 0 ? Progress::Incomplete
                       : complete(Bytes.substr(Part.size()));
}

Progress ResponseReader::readChunks(std::string_view Bytes) {
  while (true) {
    std::string_view Part = Bytes.substr(0, Remaining);
    Message.Body.append(Part);
    Remaining -= Part.size();
    Bytes.remove_prefix(Part.size());
    size_t End = Bytes.find(LineBreak);
    if (Remaining > 0 || End == std::string_view::npos) {
      Pending = Bytes;
      return Pending.size() > MaxChunkLineBytes ? Progress::Malformed
                                                : Progress::Incomplete;
    }
    std::string_view Line = Bytes.substr(0, End);
    Bytes.remove_prefix(End + LineBreak.size());
    if (NextPart == ChunkPart::Trailer && Line.empty())
      return complete(Bytes);
    if (NextPart == ChunkPart::End && !Line.empty())
      return Progress::Malformed;
    if (NextPart == ChunkPart::End)
      NextPart = ChunkPart::Size;
    else if (NextPart == ChunkPart::Size && !readChunkSize(Line))
      return Progress::Malformed;
  }
}

bool ResponseReader::readChunkSize(std::string_view Line) {
  std::string_view Digits = trimmed(Line.substr(0, Line.find(';')));
  size_t Size = 0;
  if (!readNumber(Digits, 16, Size) ||
      Size > MaxBodyBytes - Message.Body.size())
    return false;
  Remaining = Size;
  NextPart = Size == 0 ? ChunkPart::Trailer : ChunkPart::End;
  return true;
}

Progress ResponseReader::complete(std::string_view Rest) {
  // Bytes beyond the response belong to no request.
  KeepAlive = KeepAlive && Rest.empty();
  return Progress::Complete;
}

} // namespace teaselwalk::http
