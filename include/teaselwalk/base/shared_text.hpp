#pragma once

#include <cstddef>
#include <memory>
#include <string>

namespace teaselwalk {

/// Immutable text. A copy shares it, and its hash is computed once, so copies,
/// look-ups and comparisons do not depend on its length. Copies may be used on
/// different threads.
class SharedText {
public:
  SharedText(); ///< The empty text.
  explicit SharedText(std::string Value);
  // Not inline: GCC 12 takes the pointer of a temporary for uninitialised.
  ~SharedText();
  SharedText(const SharedText &Other);
  SharedText(SharedText &&Other) noexcept;
  SharedText &operator=(const SharedText &Other);
  SharedText &operator=(SharedText &&Other) noexcept;

  const std::string &str() const;
  bool empty() const { return Shared == nullptr; }
  size_t hash() const;

  friend bool operator==(const SharedText &A, const SharedText &B);
  friend bool operator<(const SharedText &A, const SharedText &B);

private:
  struct Content {
    std::string Text;
    size_t Hash = 0;
  };
  std::shared_ptr<const Content> Shared; ///< Null: the empty text.
};

} // namespace teaselwalk
