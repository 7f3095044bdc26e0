#include "teaselwalk/cell/endpoint_table.hpp"

#include <algorithm>

namespace teaselwalk::cell {

Resources TrackedEndpoint::freeCapacity() const {
  return Info.Capacity - Reserved;
}

const std::string &TrackedEndpoint::rack() const {
  static const std::string None;
  // The first label is the kind of the VM, the second one its rack.
  return Info.Labels.size() > 1 ? Info.Labels[1] : None;
}

bool TrackedEndpoint::hasLabel(const std::string &Label) const {
  return std::find(Info.Labels.begin(), Info.Labels.end(), Label) !=
         Info.Labels.end();
}

int64_t TrackedEndpoint::clockAt(TimePoint Now) const {
  return ClockMs == 0 ? 0 : ClockMs + (Now - ClockReadAt).count();
}

TrackedEndpoint &EndpointTable::operator[](const EndpointId &Id) {
  auto [Found, IsNew] = ById.try_emplace(Id);
  TrackedEndpoint &Endpoint = Found->second;
  if (IsNew) {
    Endpoint.Row = Rows.size();
    Rows.push_back({&Found->first, &Endpoint, {}, 0, 0});
  }
  return Endpoint;
}

EndpointTable::Entries::iterator EndpointTable::erase(Entries::iterator Entry) {
  size_t Row = Entry->second.Row;
  Rows[Row] = Rows.back();
  Rows[Row].Endpoint->Row = Row;
  Rows.pop_back();
  return ById.erase(Entry);
}

} // namespace teaselwalk::cell
