#pragma once

#include "teaselwalk/http/message.hpp"
#include "teaselwalk/protocol/vm.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace teaselwalk::http {

/// Head and body of \p Message as sent to \p Peer, which keeps the connection
/// open.
std::string encodeRequest(const protocol::Address &Peer,
                          const Request &Message);

/// Reads one response, of which the bytes may arrive in any pieces.
class ResponseReader {
public:
  enum class Progress { Incomplete, Complete, Malformed };

  /// Drops what was read and expects a new response.
  void reset(size_t MaxBodyBytes);

  /// Takes the next bytes. After Complete or Malformed only `reset()` and, if
  /// complete, `take()` may follow.
  Progress feed(std::string_view Bytes);

  /// The peer sends nothing further.
  Progress finish() const;

  Response take() { return std::move(Message); }

  /// The connection may carry a further request.
  bool keepsAlive() const { return KeepAlive; }

private:
  enum class Framing { Length, Chunked, UntilClose };
  enum class ChunkPart { Size, End, Trailer }; ///< The line that comes next.

  /// Removes the head from \p Bytes.
  Progress readHead(std::string_view &Bytes);
  bool readStatusLine(std::string_view Line);
  bool readField(std::string_view Line);
  bool readLength(std::string_view Value);
  bool readTransferEncoding(std::string_view Value);
  bool readConnection(std::string_view Value);
  Progress readBody(std::string_view Bytes);
  Progress readChunks(std::string_view Bytes);
  bool readChunkSize(std::string_view Line);
  Progress complete(std::string_view Rest);

  size_t MaxBodyBytes = 0;
  std::string Pending; ///< An incomplete head or incomplete chunks.
  Response Message;
  Framing BodyFraming = Framing::UntilClose;
  ChunkPart NextPart = ChunkPart::Size;
  size_t Remaining = 0; ///< Bytes of the body, or of the present chunk.
  bool HasHead = false;
  bool KeepAlive = true;
};

} // namespace teaselwalk::http
