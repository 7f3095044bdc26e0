#include "teaselwalk/runtime/field.hpp"

#include <algorithm>

namespace teaselwalk::runtime {
namespace {

constexpr size_t MaxValueBytes = 512;

bool needsQuotes(char Byte) {
  auto Code = static_cast<unsigned char>(Byte);
  return Code <= ' ' || Code == 127 || Byte == '"' || Byte == '=' ||
         Byte == '\\';
}

void appendEscaped(std::string &Out, char Byte) {
  constexpr const char *Digits = "0123456789abcdef";
  auto Code = static_cast<unsigned char>(Byte);
  if (Code < ' ' || Code == 127) {
    Out += {'\\', 'x', Digits[Code >> 4], Digits[Code & 15]};
    return;
  }
  if (Byte == '"' || Byte == '\\')
    Out += '\\';
  Out += Byte;
}

void appendValue(std::string &Out, const std::string &Value) {
  std::string Cut = Value.substr(0, MaxValueBytes);
  if (!Cut.empty() && std::none_of(Cut.begin(), Cut.end(), needsQuotes)) {
    Out += Cut;
    return;
  }
  Out += '"';
  for (char Byte : Cut)
    appendEscaped(Out, Byte);
  Out += '"';
}

} // namespace

std::string toText(const Fields &Values) {
  std::string Out;
  for (const Field &Item : Values) {
    if (!Out.empty())
      Out += ' ';
    Out += Item.Name + '=';
    appendValue(Out, Item.Value);
  }
  return Out;
}

} // namespace teaselwalk::runtime
