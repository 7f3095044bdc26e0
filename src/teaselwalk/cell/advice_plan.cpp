#include "teaselwalk/cell/advice_plan.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace teaselwalk::cell {
namespace {

/// The advisory service accepts at most this many endpoints in a request.
constexpr size_t MaxCandidates = 100;
/// Tickets of a step that starts together must outlast the request by this
/// time, in which its tasks are placed and the placement is stored.
constexpr Duration StartMargin{60};
/// Places beyond the tasks of a step that starts together, as a share: other
/// tasks take some places while the request is answered.
constexpr double SparePlaces = 0.2;

bool isLong(const AdviceNeed &Need) { return Need.Base > LongAdviceRequest; }

/// Names endpoints until their tickets probably suffice. Tickets that are valid
/// for longer than \p Outlasts need no renewal.
std::vector<EndpointId> choose(const AdviceNeed &Need,
                               const std::vector<AdviceCandidate> &Ordered,
                               Duration Outlasts) {
  double Wanted = Need.Tasks;
  if (Need.StartsTogether)
    Wanted += std::ceil(Wanted * SparePlaces);
  double Mean = 0;
  double Variance = 0;
  std::vector<EndpointId> Named;
  for (const AdviceCandidate &Next : Ordered) {
    if (Mean - std::sqrt(Variance) >= Wanted)
      break;
    auto Places = static_cast<double>(Next.Places);
    bool HasTicket = Next.TicketLeft > Outlasts;
    if (!HasTicket && Named.size() == MaxCandidates)
      continue;
    if (!HasTicket)
      Named.push_back(*Next.Id);
    double Chance = Next.IsAllowed ? 1 : Need.AllowedShare;
    Mean += Chance * Places;
    Variance += Chance * (1 - Chance) * Places * Places;
  }
  return Named;
}

} // namespace

Duration adviceTime(const AdviceNeed &Need, size_t Endpoints) {
  return Need.Base + Duration(static_cast<int64_t>(
                         Need.PerEndpointMs * static_cast<double>(Endpoints)));
}

size_t expectedEndpoints(const AdviceNeed &Need) {
  double Wanted = std::ceil(Need.Tasks / Need.AllowedShare);
  return std::min(MaxCandidates, static_cast<size_t>(Wanted));
}

std::optional<size_t> sufficientCandidates(const AdviceNeed &Need) {
  // A long request looks at the places first, tasks that start together at what
  // is left of tickets.
  if (isLong(Need) || Need.StartsTogether)
    return std::nullopt;
  // The smallest number n of candidates, each with one place, for which
  // n p - sqrt(n p (1 - p)) is at least the number of tasks.
  double Share = Need.AllowedShare;
  double Deviation = std::sqrt(Share * (1 - Share));
  double Root =
      (Deviation + std::sqrt(Deviation * Deviation + 4 * Share * Need.Tasks)) /
      (2 * Share);
  return std::min(MaxCandidates,
                  static_cast<size_t>(std::ceil(Root * Root)) + 1);
}

std::vector<EndpointId> planAdvice(const AdviceNeed &Need,
                                   std::vector<AdviceCandidate> Candidates) {
  // A long request is worth the endpoints with the most room, because each one
  // that it names costs time. A short one leaves these to others.
  bool IsLong = isLong(Need);
  for (AdviceCandidate &Next : Candidates)
    Next.Places = std::min<int64_t>(Next.Places, Need.Tasks);
  // At most `MaxCandidates` endpoints without a ticket are named, and those
  // with one come first.
  auto Allowed =
      std::count_if(Candidates.begin(), Candidates.end(),
                    [](const AdviceCandidate &Next) { return Next.IsAllowed; });
  size_t Considered =
      std::min(Candidates.size(), static_cast<size_t>(Allowed) + MaxCandidates);
  std::partial_sort(
      Candidates.begin(),
      Candidates.begin() + static_cast<std::ptrdiff_t>(Considered),
      Candidates.end(),
      [IsLong](const AdviceCandidate &A, const AdviceCandidate &B) {
        int64_t PlacesOfA = IsLong ? -A.Places : 0;
        int64_t PlacesOfB = IsLong ? -B.Places : 0;
        return std::tie(B.IsAllowed, PlacesOfA, A.Score, *A.Id) <
               std::tie(A.IsAllowed, PlacesOfB, B.Score, *B.Id);
      });
  Candidates.erase(Candidates.begin() + static_cast<std::ptrdiff_t>(Considered),
                   Candidates.end());
  if (!Need.StartsTogether)
    return choose(Need, Candidates, Duration(0));
  // The longer the request takes, the more tickets end before its answer.
  Duration Outlasts{0};
  std::vector<EndpointId> Named;
  for (size_t Round = 0; Round < MaxCandidates; ++Round) {
    Named = choose(Need, Candidates, Outlasts);
    Duration Needed = adviceTime(Need, Named.size()) + StartMargin;
    if (Needed <= Outlasts)
      break;
    Outlasts = Needed;
  }
  return Named;
}

} // namespace teaselwalk::cell
