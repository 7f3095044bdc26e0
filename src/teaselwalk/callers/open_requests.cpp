#include "open_requests.hpp"

#include <utility>

namespace teaselwalk::callers {

std::optional<RequestToken> OpenRequests::insert(OpenRequest Item) {
  std::lock_guard<std::mutex> Lock(Mutex);
  if (Items.size() >= Capacity)
    return std::nullopt;
  RequestToken Id = Next++;
  Items.emplace(Id, std::move(Item));
  return Id;
}

std::optional<OpenRequest>
OpenRequests::take(RequestToken Id,
                   const std::function<bool(const OpenRequest &)> &Matches) {
  std::lock_guard<std::mutex> Lock(Mutex);
  auto Found = Items.find(Id);
  if (Found == Items.end() || !Matches(Found->second))
    return std::nullopt;
  OpenRequest Item = std::move(Found->second);
  Items.erase(Found);
  return Item;
}

std::vector<OpenRequest> OpenRequests::takeExpired(TimePoint Now) {
  std::lock_guard<std::mutex> Lock(Mutex);
  std::vector<OpenRequest> Out;
  for (auto It = Items.begin(); It != Items.end();) {
    if (It->second.Expires > Now) {
      ++It;
      continue;
    }
    Out.push_back(std::move(It->second));
    It = Items.erase(It);
  }
  return Out;
}

size_t OpenRequests::size() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return Items.size();
}

} // namespace teaselwalk::callers
