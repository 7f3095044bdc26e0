#include "teaselwalk/cell/sliced_work.hpp"

#include <memory>
#include <utility>

namespace teaselwalk::cell {
namespace {

constexpr Duration MaxSliceTime{10};
constexpr size_t MaxSliceSteps = 64;

struct SlicedWork {
  size_t Next = 0;
  size_t Count = 0;
  std::function<void(size_t)> Step;
  std::function<void()> Done;
};

void doSlice(Executor &Clock, const Lifetime &User,
             const std::shared_ptr<SlicedWork> &Work) {
  TimePoint End = Clock.now() + MaxSliceTime;
  size_t Steps = 0;
  while (Work->Next < Work->Count) {
    if (Steps == MaxSliceSteps || (Steps > 0 && Clock.now() >= End))
      return Clock.after(Duration(0), User.guard([&Clock, &User, Work] {
        doSlice(Clock, User, Work);
      }));
    ++Steps;
    try {
      Work->Step(Work->Next++);
    } catch (...) {
      // The fault is reported by the caller of this work; the others go on.
      Clock.after(Duration(0), User.guard([&Clock, &User, Work] {
        doSlice(Clock, User, Work);
      }));
      throw;
    }
  }
  Work->Done();
}

} // namespace

void doInSlices(Executor &Clock, const Lifetime &User, size_t Count,
                std::function<void(size_t)> Step, std::function<void()> Done) {
  doSlice(Clock, User,
          std::make_shared<SlicedWork>(
              SlicedWork{0, Count, std::move(Step), std::move(Done)}));
}

} // namespace teaselwalk::cell
