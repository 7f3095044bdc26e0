#include "wire.hpp"

#include "teaselwalk/http/client.hpp"

#include <gtest/gtest.h>

#include <random>

namespace teaselwalk::http {
namespace {

using Progress = ResponseReader::Progress;

constexpr size_t MaxBody = 64;

struct Outcome {
  Progress State = Progress::Incomplete;
  Response Message;
  bool KeepsAlive = false;
};

/// Reads \p Text in pieces of up to \p PieceBytes; then the peer closes.
Outcome read(std::string_view Text, size_t PieceBytes) {
  ResponseReader Reader;
  Reader.reset(MaxBody);
  Outcome Out;
  while (!Text.empty() && Out.State == Progress::Incomplete) {
    std::string_view Piece = Text.substr(0, PieceBytes);
    Text.remove_prefix(Piece.size());
    Out.State = Reader.feed(Piece);
  }
  if (Out.State == Progress::Incomplete)
    Out.State = Reader.finish();
  Out.KeepsAlive = Reader.keepsAlive() && Text.empty();
  Out.Message = Reader.take();
  return Out;
}

struct Sample {
  const char *Text;
  int Status;
  const char *Body;
  bool KeepsAlive;
};

constexpr Sample Samples[] = {
    {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", 200, "body", true},
    {"HTTP/1.1 503 \r\ncontent-length:0\r\n\r\n", 503, "", true},
    {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: x, Close\r\n\r\n{}",
     200, "{}", false},
    {"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\n{}", 200, "{}", false},
    {"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\n{}",
     200, "{}", true},
    {"HTTP/1.1 200 OK\r\n\r\nuntil close", 200, "until close", false},
    {"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", 304, "", true},
    {"HTTP/1.1 204 No Content\r\n\r\n", 204, "", true},
    {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"
     "x",
     200, "x", true},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
     "A;x=y\r\n0123456789\r\n0\r\nTrailer: t\r\n\r\n",
     200, "abc0123456789", true},
    {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\n", 200,
     "x", false},
};

// Guards against a body that depends on how the network cuts the answer.
TEST(ResponseReaderTest, PiecesOfAnySizeGiveTheSameAnswer) {
  for (const Sample &Given : Samples)
    for (size_t PieceBytes = 1; PieceBytes <= 200; ++PieceBytes) {
      Outcome Got = read(Given.Text, PieceBytes);
      ASSERT_EQ(Got.State, Progress::Complete) << Given.Text << PieceBytes;
      EXPECT_EQ(Got.Message.Status, Given.Status) << Given.Text;
      EXPECT_EQ(Got.Message.Body, Given.Body) << Given.Text;
      EXPECT_EQ(Got.KeepsAlive, Given.KeepsAlive) << Given.Text;
    }
}

// Guards against an answer taken from a peer that does not speak HTTP, or that
// was cut off.
TEST(ResponseReaderTest, MalformedAnswersAreRejected) {
  const std::string Long(MaxBody + 1, 'x');
  const std::string Head = "HTTP/1.1 200 OK\r\n";
  std::string LongBody = Head + "Content-Length: 65\r\n\r\n";
  LongBody.append(Long);
  std::string LongUntilClose = Head + "\r\n";
  LongUntilClose.append(Long);
  std::string LongChunk = Head + "Transfer-Encoding: chunked\r\n\r\n41\r\n";
  LongChunk.append(Long).append("\r\n0\r\n\r\n");
  std::string LongHead = Head + "X: ";
  LongHead.append(9000, 'x').append("\r\n\r\n");
  for (const std::string &Text :
       {std::string(),
        std::string("HTTP/2 200 OK\r\n\r\n"),
        std::string("HTTP/1.1 2x0 OK\r\n\r\n"),
        std::string("HTTP/1.1 20 OK\r\n\r\n"),
        std::string("\r\n\r\n"),
        Head,
        Head + "no colon\r\n\r\n",
        Head + ": x\r\n\r\n",
        Head + "Content-Length: -1\r\n\r\n",
        Head + "Content-Length: 1x\r\n\r\n",
        Head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        Head + "Content-Length: 99999999999999999999999\r\n\r\n",
        LongBody,
        LongUntilClose,
        Head + "Content-Length: 5\r\n\r\nabcd",
        Head + "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n",
        Head + "Transfer-Encoding: gzip\r\n\r\n",
        Head + "Transfer-Encoding: chunked\r\n\r\nx\r\n",
        Head + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n",
        Head + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n",
        LongChunk,
        LongHead})
    for (size_t PieceBytes : {size_t(1), size_t(7), size_t(10000)})
      EXPECT_EQ(read(Text, PieceBytes).State, Progress::Malformed)
          << Text << PieceBytes;
}

// Guards against reads beyond the input and against a body beyond its limit.
TEST(ResponseReaderTest, RandomBytesStayWithinTheLimits) {
  std::mt19937 Random(7);
  for (int Round = 0; Round < 20000; ++Round) {
    std::string Text = Samples[Random() % std::size(Samples)].Text;
    for (int Change = 0; Change < 3; ++Change)
      Text[Random() % Text.size()] = static_cast<char>(Random());
    EXPECT_LE(read(Text, 1 + Random() % 40).Message.Body.size(), MaxBody + 40);
  }
}

// Guards against a request that its receiver reads differently than meant.
TEST(EncodeRequestTest, WritesHeadAndBody) {
  Request Message{"POST", "/a", "{}", "key", "r1", {{"Name", "value"}}};
  EXPECT_EQ(encodeRequest({"10.0.0.1", 81}, Message),
            "POST /a HTTP/1.1\r\nHost: 10.0.0.1:81\r\n"
            "Content-Type: application/json\r\nAuthorization: Bearer key\r\n"
            "X-Request-Id: r1\r\nName: value\r\nContent-Length: 2\r\n\r\n{}");
  EXPECT_EQ(encodeRequest({"10.0.0.1", 81}, {}),
            "GET / HTTP/1.1\r\nHost: 10.0.0.1:81\r\n"
            "Content-Type: application/json\r\n\r\n");
}

// Guards against a body of which the length is stated differently or of which
// a part is missing.
TEST(EncodeRequestTest, WritesBodiesOfAnyLength) {
  for (size_t Length : {0, 1, 400, 600, 100000}) {
    Request Message{"POST", "/a", std::string(Length, 'x')};
    Message.Headers = {{"Name", std::string(Length / 100, 'y')}};
    EXPECT_EQ(encodeRequest({"10.0.0.1", 81}, Message),
              "POST /a HTTP/1.1\r\nHost: 10.0.0.1:81\r\n"
              "Content-Type: application/json\r\nName: " +
                  Message.Headers[0].second + "\r\nContent-Length: " +
                  std::to_string(Length) + "\r\n\r\n" + Message.Body)
        << Length;
  }
}

// Guards against requests that differ from those that are encoded as a whole.
TEST(RequestHeadTest, EncodesLikeAWholeRequest) {
  protocol::Address Peer{"10.0.0.1", 81};
  Request Message{"POST", "/renew"};
  Message.Headers.emplace_back("X-Request-Id", "e1");
  RequestHead Head(Peer, Message);
  for (const char *Body : {"{\"run\":1}", "", "Content-Length: 7\r\n\r\n"}) {
    Message.Body = Body;
    EXPECT_EQ(Head.with(Body), encodeRequest(Peer, Message));
  }
}

} // namespace
} // namespace teaselwalk::http
