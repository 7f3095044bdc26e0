#include "teaselwalk/cell/endpoint_table.hpp"

#include <algorithm>

namespace teaselwalk::cell {

TimePoint TrackedEndpoint::leaseEnd(int64_t StartMs,
                                    const LeaseLengths &Lengths) const {
  return UsualLeaseIncarnations.count(StartMs) != 0 ? Leases.usualEnd(Lengths)
                                                    : Leases.end(Lengths);
}

bool TrackedEndpoint::hasUsualLeases(const LeaseLengths &Lengths,
                                     TimePoint Now) const {
  return UsualLeaseIncarnations.count(IncarnationMs) != 0 ||
         Leases.isUsual(Lengths, Now);
}

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

TrackedEndpoint &EndpointTable::operator[](const EndpointId &Id) {
  auto [Found, IsNew] = ById.try_emplace(Id);
  TrackedEndpoint &Endpoint = Found->second;
  if (IsNew) {
    Endpoint.Row = Rows.size();
    Rows.emplace_back();
    Rows.back().Id = &Found->first;
    Rows.back().Endpoint = &Endpoint;
    addToClass(Endpoint.Row);
  }
  return Endpoint;
}

EndpointTable::Entries::iterator EndpointTable::erase(Entries::iterator Entry) {
  size_t Row = Entry->second.Row;
  size_t Last = Rows.size() - 1;
  removeFromClass(Row);
  if (Row != Last) {
    removeFromClass(Last);
    Rows[Row] = Rows[Last];
    Rows[Row].Endpoint->Row = Row;
    addToClass(Row);
  }
  Rows.pop_back();
  return ById.erase(Entry);
}

void EndpointTable::updateRoom(const TrackedEndpoint &Endpoint) {
  Row &Changed = Rows[Endpoint.Row];
  Changed.Free = Endpoint.freeCapacity();
  if (roomClassOf(Changed) == Changed.RoomClass)
    return;
  removeFromClass(Endpoint.Row);
  addToClass(Endpoint.Row);
}

size_t EndpointTable::roomClassOf(int64_t MilliCpu) {
  return static_cast<size_t>(std::clamp<int64_t>(
      MilliCpu / RoomStep, 0, static_cast<int64_t>(MixedClass) - 1));
}

size_t EndpointTable::roomClassOf(const Row &Of) {
  return Of.Endpoint->OpportunisticCpu > 0 ? MixedClass
                                           : roomClassOf(Of.Free.MilliCpu);
}

void EndpointTable::addToClass(size_t Row) {
  Rows[Row].RoomClass = roomClassOf(Rows[Row]);
  std::vector<size_t> &Class = ByRoom[Rows[Row].RoomClass];
  Rows[Row].Position = Class.size();
  Class.push_back(Row);
}

void EndpointTable::removeFromClass(size_t Row) {
  std::vector<size_t> &Class = ByRoom[Rows[Row].RoomClass];
  size_t Moved = Class.back();
  Class[Rows[Row].Position] = Moved;
  Rows[Moved].Position = Rows[Row].Position;
  Class.pop_back();
}

} // namespace teaselwalk::cell
