#include "form.hpp"

#include "teaselwalk/http/message.hpp"

#include <algorithm>
#include <string_view>

namespace teaselwalk::operators {
namespace {

constexpr size_t MaxFields = 64;

std::string decode(std::string_view Part) {
  std::string Text(Part);
  std::replace(Text.begin(), Text.end(), '+', ' ');
  return http::percentDecode(Text);
}

std::string_view replacementOf(char Byte) {
  switch (Byte) {
  case '&':
    return "&amp;";
  case '<':
    return "&lt;";
  case '>':
    return "&gt;";
  case '"':
    return "&quot;";
  case '\'':
    return "&#39;";
  default:
    return {};
  }
}

} // namespace

Form Form::parse(const std::string &Body) {
  Form Out;
  std::string_view Rest = Body;
  while (!Rest.empty() && Out.Fields.size() < MaxFields) {
    std::string_view Pair = Rest.substr(0, Rest.find('&'));
    Rest.remove_prefix(std::min(Rest.size(), Pair.size() + 1));
    size_t Equals = std::min(Pair.find('='), Pair.size());
    std::string Value;
    if (Equals < Pair.size())
      Value = decode(Pair.substr(Equals + 1));
    Out.Fields.emplace(decode(Pair.substr(0, Equals)), Value);
  }
  return Out;
}

std::string Form::text(const std::string &Name) const {
  auto Found = Fields.find(Name);
  return Found == Fields.end() ? std::string() : Found->second;
}

std::string escapeHtml(const std::string &Text) {
  std::string Out;
  for (char Byte : Text) {
    std::string_view Replacement = replacementOf(Byte);
    if (Replacement.empty())
      Out += Byte;
    else
      Out += Replacement;
  }
  return Out;
}

} // namespace teaselwalk::operators
