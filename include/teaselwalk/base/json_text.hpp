#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace teaselwalk {

/// Writes JSON straight into its text, without a tree in between.
///
/// ```cpp
/// JsonText Out;
/// Out.beginObject().key("run").integer(2).endObject();
/// std::string Body = Out.take(); // {"run":2}
/// ```
class JsonText {
public:
  JsonText();
  ~JsonText();
  JsonText(const JsonText &) = delete;
  JsonText &operator=(const JsonText &) = delete;

  JsonText &beginObject();
  JsonText &endObject();
  JsonText &beginArray();
  JsonText &endArray();
  /// The name of the next value of an object.
  JsonText &key(std::string_view Name);
  JsonText &integer(int64_t Value);
  JsonText &boolean(bool Value);
  JsonText &text(std::string_view Value);

  /// What was written so far; the writer is empty afterwards.
  std::string take();

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace teaselwalk
