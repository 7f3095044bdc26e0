#include "json_text.hpp"

#include <json/reader.h>
#include <json/writer.h>

#include <memory>
#include <stdexcept>

namespace teaselwalk {
namespace jsonrpc {
namespace {

Json::CharReaderBuilder strictReaderBuilder() {
  Json::CharReaderBuilder Builder;
  Json::CharReaderBuilder::strictMode(&Builder.settings_);
  return Builder;
}

Json::StreamWriterBuilder compactWriterBuilder() {
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  Builder["emitUTF8"] = true;
  return Builder;
}

} // namespace

Json::Value parseText(const std::string &Text) {
  static const Json::CharReaderBuilder Builder = strictReaderBuilder();
  std::unique_ptr<Json::CharReader> Reader(Builder.newCharReader());
  Json::Value Value;
  std::string Errors;
  if (!Reader->parse(Text.data(), Text.data() + Text.size(), &Value, &Errors))
    throw std::runtime_error("malformed JSON: " + Errors);
  return Value;
}

std::string writeText(const Json::Value &Value) {
  static const Json::StreamWriterBuilder Builder = compactWriterBuilder();
  return Json::writeString(Builder, Value);
}

} // namespace jsonrpc
} // namespace teaselwalk
