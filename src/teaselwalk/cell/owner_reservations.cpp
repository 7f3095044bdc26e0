#include "owner_step_rules.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <unordered_set>
#include <utility>

/// Restarts of services find room even if other work takes all that is free.
namespace teaselwalk::cell {
namespace {

/// A reservation ends if it was not renewed since.
constexpr Duration LongestReservation{5000};
/// One for an open request ends even if there is no answer.
constexpr Duration LongestRequest{1500};
/// Room that is not free yet is sought again after this time.
constexpr Duration ReservationInterval{250};
/// Endpoints for a restart on which room is expected, at most.
constexpr size_t MostFutureEndpoints = 100;

} // namespace

Resources Owner::keptRoom(const JobProgress &Job, const StepKey &Key,
                          const EndpointId &Endpoint) const {
  Resources Kept;
  if (!AllowedRoom.isEmpty())
    Kept = AllowedRoom.keptFrom(Key, Endpoint);
  // Few of the endpoints in a request are used, so restarts share them.
  if (!RequestedRoom.isEmpty() && !isRestart(Job, Key))
    Kept += RequestedRoom.keptFrom(Key, Endpoint);
  return Kept;
}

std::vector<AdviceCandidate> Owner::futureCandidates(const JobProgress &Job,
                                                     const StepKey &Key,
                                                     const StepAdvice &Advice,
                                                     RoomNow Rooms) {
  const StepSpec &Step = Job.Spec.Steps[static_cast<size_t>(Key.Step)];
  StepRules Rules(*this, Job, Key);
  return AdviceSearch(Table, Claims, Step, Advice, Rules, Clock.now())
      .findFuture(MostFutureEndpoints, Rooms);
}

void Owner::addFuture(const JobProgress &Job, const StepKey &Key,
                      AdviceNeed Need, int32_t Tasks,
                      const std::vector<AdviceCandidate> &Candidates,
                      std::vector<EndpointId> &Named) {
  double Expected = 0;
  for (const AdviceCandidate &Next : Candidates)
    Expected += (Next.IsAllowed ? 1 : Need.AllowedShare) *
                static_cast<double>(Next.Places);
  Need.Tasks = Tasks - static_cast<int32_t>(Expected);
  if (Need.Tasks <= 0 || Need.StartsTogether)
    return;
  auto Asked = StepAdvices.find(Key);
  for (EndpointId &Id : planAdvice(
           Need, futureCandidates(Job, Key, Asked->second, RoomNow::Excluded)))
    if (Named.size() < MostFutureEndpoints)
      Named.push_back(std::move(Id));
}

void Owner::reserveRequested(const JobProgress &Job, const StepKey &Key,
                             const AdviceNeed &Need,
                             const std::vector<EndpointId> &Named) {
  const StepSpec &Step = Job.Spec.Steps[static_cast<size_t>(Key.Step)];
  auto Most = static_cast<size_t>(
      std::ceil(startableRestarts(Job, Key) / Need.AllowedShare));
  RoomReservations::Rows Places;
  for (size_t I = 0; I < std::min(Most, Named.size()); ++I)
    Places.emplace_back(Named[I], 1);
  RequestedRoom.set(Key, Step.Need, Places, Clock.now() + LongestRequest);
}

int32_t Owner::startableRestarts(const JobProgress &Job,
                                 const StepKey &Key) const {
  // Answers are used late then, and reserved room would not be used meanwhile.
  if (Lag.isLong())
    return 0;
  const StepSpec &Step = Job.Spec.Steps[static_cast<size_t>(Key.Step)];
  TimePoint Now = Clock.now();
  Resources All;
  int32_t Count = 0;
  for (const TaskProgress &Task :
       Job.stateOf({Key.Job, Key.Occurrence, Key.Step, 0}).Tasks) {
    bool MayStart = Task.Phase == TaskPhase::Waiting && Task.Attempt > 0 &&
                    Task.NotBefore <= Now && !Task.mustAwaitVerdict();
    if (!MayStart)
      continue;
    All += Step.Need;
    if (!fitsTeamLimit(Job, All))
      break;
    ++Count;
  }
  return Count;
}

void Owner::reserveAllowed(const JobProgress &Job, const StepKey &Key,
                           const StepAdvice *Advice) {
  static const StepAdvice AllAllowed;
  const StepSpec &Step = Job.Spec.Steps[static_cast<size_t>(Key.Step)];
  int32_t Left = Step.Gang ? 0 : startableRestarts(Job, Key);
  RoomReservations::Rows Places;
  if (Left > 0)
    for (const AdviceCandidate &Next : futureCandidates(
             Job, Key, Advice ? *Advice : AllAllowed, RoomNow::Included)) {
      if (Left == 0)
        break;
      if (Advice != nullptr && !Next.IsAllowed)
        continue;
      auto Tasks = static_cast<int32_t>(std::min<int64_t>(Next.Places, Left));
      Places.emplace_back(*Next.Id, Tasks);
      Left -= Tasks;
    }
  std::vector<EndpointId> Before = AllowedRoom.remove(Key);
  AllowedRoom.set(Key, Step.Need, Places, Clock.now() + LongestReservation);
  std::unordered_set<EndpointId> Kept;
  for (const auto &[Id, Tasks] : Places)
    Kept.insert(Id);
  Before.erase(
      std::remove_if(Before.begin(), Before.end(),
                     [&](const EndpointId &Id) { return Kept.count(Id) != 0; }),
      Before.end());
  noteGains(Before);
}

void Owner::updateReservation(const JobProgress &Job, const StepKey &Key,
                              StepProgress &State, const StepAdvice *Advice) {
  if (Clock.now() - State.ReservedAt < ReservationInterval)
    return;
  State.ReservedAt = Clock.now();
  reserveAllowed(Job, Key, Advice);
}

void Owner::noteGains(const std::vector<EndpointId> &Endpoints) {
  for (const EndpointId &Id : Endpoints) {
    auto Found = Table.find(Id);
    if (Found != Table.end())
      Table.noteGain(Found->second);
  }
}

void Owner::dropReservations(const StepKey &Key) {
  noteGains(AllowedRoom.remove(Key));
  noteGains(RequestedRoom.remove(Key));
}

} // namespace teaselwalk::cell
