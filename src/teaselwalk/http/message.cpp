#include "teaselwalk/http/message.hpp"

#include <algorithm>
#include <cctype>
#include <string_view>

namespace teaselwalk::http {
namespace {

constexpr std::string_view HexDigits = "0123456789ABCDEF";

int hexValue(char Digit) {
  size_t Position = HexDigits.find(
      static_cast<char>(std::toupper(static_cast<unsigned char>(Digit))));
  return Position == std::string_view::npos ? -1 : static_cast<int>(Position);
}

bool isUnreserved(char Byte) {
  return std::isalnum(static_cast<unsigned char>(Byte)) != 0 ||
         std::string_view("-._~/").find(Byte) != std::string_view::npos;
}

} // namespace

std::string headerOf(const Request &Message, const std::string &Name) {
  auto SameLetter = [](unsigned char A, unsigned char B) {
    return std::tolower(A) == std::tolower(B);
  };
  for (const auto &[Key, Value] : Message.Headers)
    if (std::equal(Key.begin(), Key.end(), Name.begin(), Name.end(),
                   SameLetter))
      return Value;
  return "";
}

std::string pathOf(const Request &Message) {
  return Message.Target.substr(0, Message.Target.find('?'));
}

std::optional<std::string> queryOf(const Request &Message,
                                   const std::string &Name) {
  size_t Mark = Message.Target.find('?');
  if (Mark == std::string::npos)
    return std::nullopt;
  std::string_view Rest = std::string_view(Message.Target).substr(Mark + 1);
  while (!Rest.empty()) {
    std::string_view Pair = Rest.substr(0, Rest.find('&'));
    Rest.remove_prefix(std::min(Rest.size(), Pair.size() + 1));
    size_t Equals = Pair.find('=');
    if (Pair.substr(0, Equals) != Name)
      continue;
    if (Equals == std::string_view::npos)
      return std::string();
    return percentDecode(std::string(Pair.substr(Equals + 1)));
  }
  return std::nullopt;
}

std::string percentEncode(const std::string &Text) {
  std::string Out;
  for (char Byte : Text) {
    if (isUnreserved(Byte)) {
      Out += Byte;
      continue;
    }
    auto Value = static_cast<unsigned char>(Byte);
    Out += '%';
    Out += HexDigits[Value >> 4];
    Out += HexDigits[Value & 15];
  }
  return Out;
}

std::string percentDecode(const std::string &Text) {
  std::string Out;
  for (size_t I = 0; I < Text.size(); ++I) {
    bool Escape = Text[I] == '%' && I + 2 < Text.size() &&
                  hexValue(Text[I + 1]) >= 0 && hexValue(Text[I + 2]) >= 0;
    if (!Escape) {
      Out += Text[I];
      continue;
    }
    Out +=
        static_cast<char>(hexValue(Text[I + 1]) * 16 + hexValue(Text[I + 2]));
    I += 2;
  }
  return Out;
}

} // namespace teaselwalk::http
