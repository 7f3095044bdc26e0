#pragma once

#include <memory>
#include <utility>

namespace teaselwalk::cell {

/// Member of an object that hands out callbacks: a callback wrapped by `guard`
/// does nothing once the object is destroyed.
class Lifetime {
public:
  template <typename Call> auto guard(Call Body) const {
    return [Body = std::move(Body),
            Token = std::weak_ptr<char>(Alive)](auto &&...Values) mutable {
      if (!Token.expired())
        Body(std::forward<decltype(Values)>(Values)...);
    };
  }

private:
  std::shared_ptr<char> Alive = std::make_shared<char>();
};

} // namespace teaselwalk::cell
