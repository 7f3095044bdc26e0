#include "teaselwalk/base/shared_text.hpp"

#include <functional>
#include <utility>

namespace teaselwalk {

SharedText::SharedText() = default;
SharedText::~SharedText() = default;
SharedText::SharedText(const SharedText &Other) = default;
SharedText::SharedText(SharedText &&Other) noexcept = default;
SharedText &SharedText::operator=(const SharedText &Other) = default;
SharedText &SharedText::operator=(SharedText &&Other) noexcept = default;

SharedText::SharedText(std::string Value) {
  if (Value.empty())
    return;
  size_t Hash = std::hash<std::string>()(Value);
  Shared = std::make_shared<const Content>(Content{std::move(Value), Hash});
}

const std::string &SharedText::str() const {
  static const std::string Empty;
  return Shared == nullptr ? Empty : Shared->Text;
}

size_t SharedText::hash() const { return Shared == nullptr ? 0 : Shared->Hash; }

bool operator==(const SharedText &A, const SharedText &B) {
  if (A.Shared == B.Shared)
    return true;
  return A.hash() == B.hash() && A.str() == B.str();
}

bool operator<(const SharedText &A, const SharedText &B) {
  return A.Shared != B.Shared && A.str() < B.str();
}

} // namespace teaselwalk
