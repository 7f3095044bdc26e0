#include "teaselwalk/base/json_text.hpp"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace teaselwalk {
namespace {

rapidjson::SizeType lengthOf(std::string_view Text) {
  return static_cast<rapidjson::SizeType>(Text.size());
}

} // namespace

struct JsonText::Impl {
  rapidjson::StringBuffer Buffer;
  rapidjson::Writer<rapidjson::StringBuffer> Writer{Buffer};
};

JsonText::JsonText() : State(std::make_unique<Impl>()) {}

JsonText::~JsonText() = default;

JsonText &JsonText::beginObject() {
  State->Writer.StartObject();
  return *this;
}

JsonText &JsonText::endObject() {
  State->Writer.EndObject();
  return *this;
}

JsonText &JsonText::beginArray() {
  State->Writer.StartArray();
  return *this;
}

JsonText &JsonText::endArray() {
  State->Writer.EndArray();
  return *this;
}

JsonText &JsonText::key(std::string_view Name) {
  State->Writer.Key(Name.data(), lengthOf(Name));
  return *this;
}

JsonText &JsonText::integer(int64_t Value) {
  State->Writer.Int64(Value);
  return *this;
}

JsonText &JsonText::boolean(bool Value) {
  State->Writer.Bool(Value);
  return *this;
}

JsonText &JsonText::text(std::string_view Value) {
  State->Writer.String(Value.data(), lengthOf(Value));
  return *this;
}

std::string JsonText::take() {
  std::string Text(State->Buffer.GetString(), State->Buffer.GetSize());
  State->Buffer.Clear();
  State->Writer.Reset(State->Buffer);
  return Text;
}

} // namespace teaselwalk
