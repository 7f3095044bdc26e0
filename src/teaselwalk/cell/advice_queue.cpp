#include "teaselwalk/cell/advice_queue.hpp"

#include <utility>

namespace teaselwalk::cell {
namespace {

/// After a request has become late there are too many for this time.
constexpr Duration ShortageMemory{1000};

AdviceUrgency urgencyAt(const AdviceRequest &Asked, TimePoint Now) {
  if (Asked.Urgency == AdviceUrgency::Restart)
    return Asked.Urgency;
  if (Now > Asked.UsefulUntil)
    return AdviceUrgency::Worthless;
  if (Asked.Urgency == AdviceUrgency::InTime && Now > Asked.InTimeUntil)
    return AdviceUrgency::Late;
  return Asked.Urgency;
}

} // namespace

void AdviceQueue::add(Entry Next) {
  Place At{Next.Asked.Urgency, Next.Asked.Deadline, NextNumber++};
  Order.insert(At);
  OfUrgency[static_cast<size_t>(At.Urgency)].insert(At.Number);
  Rows.emplace(At.Number, Row{At, std::move(Next)});
}

AdviceQueue::Entry AdviceQueue::take(const Place &Where) {
  auto Found = Rows.find(Where.Number);
  Entry Taken = std::move(Found->second.Waiting);
  Order.erase(Found->second.At);
  OfUrgency[static_cast<size_t>(Found->second.At.Urgency)].erase(Where.Number);
  Rows.erase(Found);
  return Taken;
}

bool AdviceQueue::update(const Place &Where, TimePoint Now) {
  Row &Updated = Rows.at(Where.Number);
  AdviceUrgency Urgency = urgencyAt(Updated.Waiting.Asked, Now);
  if (Urgency <= Updated.At.Urgency)
    return false;
  if (Updated.At.Urgency == AdviceUrgency::InTime)
    BecameLateAt = Now;
  Order.erase(Updated.At);
  OfUrgency[static_cast<size_t>(Updated.At.Urgency)].erase(Where.Number);
  Updated.At.Urgency = Urgency;
  Order.insert(Updated.At);
  OfUrgency[static_cast<size_t>(Urgency)].insert(Where.Number);
  return true;
}

bool AdviceQueue::isShort(TimePoint Now) const {
  return BecameLateAt != TimePoint() && Now - BecameLateAt < ShortageMemory;
}

AdviceQueue::Place AdviceQueue::first(TimePoint Now) {
  for (;;) {
    Place Next = *Order.begin();
    if (update(Next, Now))
      continue;
    bool HasObjective = Next.Urgency == AdviceUrgency::InTime ||
                        Next.Urgency == AdviceUrgency::Late;
    if (HasObjective && isShort(Now))
      Next = Rows.at(*OfUrgency[static_cast<size_t>(Next.Urgency)].rbegin()).At;
    if (!update(Next, Now))
      return Next;
  }
}

} // namespace teaselwalk::cell
