#include "wire.hpp"

#include "teaselwalk/http/client.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/span_body.hpp>

#include <utility>

namespace teaselwalk::http {
namespace {

namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using boost::system::error_code;
using Progress = ResponseReader::Progress;

constexpr uint32_t MaxHeadBytes = 8192;
/// Room for the head of a request, so that writing it allocates once.
constexpr size_t UsualHeadBytes = 512;
constexpr int FirstFinalStatus = 200;
constexpr std::string_view LengthField = "Content-Length: ";
constexpr std::string_view EndOfHead = "\r\n\r\n";

} // namespace

std::string encodeRequest(const protocol::Address &Peer,
                          const Request &Message) {
  using Body = bhttp::span_body<const char>;
  bhttp::request<Body> Text;
  Text.version(11);
  Text.method_string(Message.Method);
  Text.target(Message.Target);
  Text.set(bhttp::field::host, Peer.Ip + ':' + std::to_string(Peer.Port));
  Text.set(bhttp::field::content_type, "application/json");
  if (!Message.Bearer.empty())
    Text.set(bhttp::field::authorization, "Bearer " + Message.Bearer);
  if (!Message.RequestId.empty())
    Text.set("X-Request-Id", Message.RequestId);
  for (const auto &[Name, Value] : Message.Headers)
    Text.set(Name, Value);
  Text.body() = {Message.Body.data(), Message.Body.size()};
  Text.prepare_payload();
  bhttp::request_serializer<Body> Writer(Text);
  std::string Out;
  Out.reserve(UsualHeadBytes + Message.Body.size());
  error_code Failure;
  while (!Writer.is_done() && !Failure)
    Writer.next(Failure, [&](error_code &, const auto &Buffers) {
      for (boost::asio::const_buffer Part : beast::buffers_range_ref(Buffers))
        Out.append(static_cast<const char *>(Part.data()), Part.size());
      Writer.consume(beast::buffer_bytes(Buffers));
    });
  return Out;
}

RequestHead::RequestHead(const protocol::Address &To, const Request &Message)
    : Peer(To) {
  Request Empty = Message;
  Empty.Body.clear();
  Text = encodeRequest(Peer, Empty);
  // The length is the last field, as it is added last.
  Text.resize(Text.rfind(LengthField) + LengthField.size());
}

std::string RequestHead::with(const std::string &Body) const {
  std::string Length = std::to_string(Body.size());
  std::string Out;
  Out.reserve(Text.size() + Length.size() + EndOfHead.size() + Body.size());
  Out += Text;
  Out += Length;
  Out += EndOfHead;
  Out += Body;
  return Out;
}

void ResponseReader::reset(size_t MaxBody) {
  MaxBodyBytes = MaxBody;
  Pending.clear();
  KeepAlive = true;
  expectResponse();
}

void ResponseReader::expectResponse() {
  Current = std::make_unique<Parser>();
  Current->eager(true);
  Current->body_limit(MaxBodyBytes);
  Current->header_limit(MaxHeadBytes);
}

Progress ResponseReader::feed(std::string_view Bytes) {
  std::string Joined;
  if (!Pending.empty()) {
    Joined = std::move(Pending);
    Pending.clear();
    Joined.append(Bytes);
    Bytes = Joined;
  }
  while (true) {
    error_code Failure;
    size_t Used =
        Current->put(boost::asio::buffer(Bytes.data(), Bytes.size()), Failure);
    Bytes.remove_prefix(Used);
    if (Failure && Failure != bhttp::error::need_more)
      return Progress::Malformed;
    if (Current->is_header_done() && !hasUsableBody())
      return Progress::Malformed;
    bool IsInterim =
        Current->is_done() && Current->get().result_int() < FirstFinalStatus;
    if (Current->is_done() && !IsInterim)
      return complete(Bytes);
    // An interim response precedes the final one.
    if (IsInterim)
      expectResponse();
    if (Bytes.empty() || Failure || Used == 0) {
      Pending = Bytes;
      return Progress::Incomplete;
    }
  }
}

Progress ResponseReader::finish() {
  // The parser may not be told of the end before it has read anything.
  if (!Current->is_header_done())
    return Progress::Malformed;
  error_code Failure;
  Current->put_eof(Failure);
  if (Failure || !Current->is_done())
    return Progress::Malformed;
  return complete({});
}

bool ResponseReader::hasUsableBody() const {
  bool IsEncoded = Current->get().count(bhttp::field::transfer_encoding) > 0 &&
                   !Current->chunked();
  bool HasBody = !Current->is_done() || !Current->get().body().empty();
  auto Length = Current->content_length();
  return !IsEncoded && !(HasBody && Length && *Length > MaxBodyBytes);
}

Response ResponseReader::take() {
  auto Message = Current->release();
  Response Result;
  Result.Status = static_cast<int>(Message.result_int());
  Result.ContentType = std::string(Message[bhttp::field::content_type]);
  Result.Body = std::move(Message.body());
  return Result;
}

Progress ResponseReader::complete(std::string_view Rest) {
  // Bytes beyond the response belong to no request.
  KeepAlive = Current->keep_alive() && Rest.empty();
  return Progress::Complete;
}

} // namespace teaselwalk::http
