#include "teaselwalk/runtime/thread_group.hpp"

#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <caf/atom.hpp>
#include <caf/blocking_actor.hpp>

#include <pthread.h>

#include <algorithm>
#include <future>
#include <mutex>
#include <utility>
#include <vector>

namespace teaselwalk::runtime {
namespace {

/// The threads are all detached actors. One scheduler thread that waits, and
/// does not poll as work stealing does, keeps an idle process idle.
caf::actor_system_config &configured(caf::actor_system_config &Config) {
  Config.set("scheduler.policy", caf::atom("sharing"));
  Config.set("scheduler.max-threads", int64_t{1});
  return Config;
}

} // namespace

class ThreadGroup::Impl {
public:
  struct Running {
    std::string Name;
    std::function<void()> Stop;
    std::future<void> Ended;
  };

  void setFailure(std::string Text) {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (Failure.empty())
      Failure = std::move(Text);
  }

  void run(const std::string &Name, const std::function<void()> &Run) {
    pthread_setname_np(pthread_self(), Name.substr(0, 15).c_str());
    try {
      Run();
    } catch (const std::exception &Problem) {
      setFailure(Name + ": " + Problem.what());
    }
  }

  void stop(Running &Duty) {
    if (Duty.Stop)
      Duty.Stop();
    Duty.Ended.wait();
  }

  caf::actor_system_config Config;
  caf::actor_system System{configured(Config)};
  std::vector<Running> Started;
  mutable std::mutex Mutex;
  std::string Failure;
};

ThreadGroup::ThreadGroup() : State(std::make_unique<Impl>()) {}

ThreadGroup::~ThreadGroup() { stopAll(); }

void ThreadGroup::start(const std::string &Name, ThreadBody Body) {
  auto Ended = std::make_shared<std::promise<void>>();
  State->Started.push_back({Name, std::move(Body.Stop), Ended->get_future()});
  std::function<void()> Work = [Self = State.get(), Name, Ended,
                                Run = std::move(Body.Run)]() mutable {
    Self->run(Name, Run);
    // Releases what the body refers to before the owner goes on.
    Run = nullptr;
    Ended->set_value();
  };
  // CAF 0.17 binds a reference to a null argument tuple when a function without
  // arguments is spawned, which the undefined-behaviour sanitizer reports.
  // Therefore the work is an argument.
  State->System.spawn<caf::detached>(
      [](caf::blocking_actor *, const std::function<void()> &Job) { Job(); },
      std::move(Work));
}

void ThreadGroup::stopAll() {
  while (!State->Started.empty()) {
    State->stop(State->Started.back());
    State->Started.pop_back();
  }
}

void ThreadGroup::stop(const std::string &Name) {
  auto &Started = State->Started;
  auto Found = std::find_if(
      Started.rbegin(), Started.rend(),
      [&](const Impl::Running &Duty) { return Duty.Name == Name; });
  if (Found == Started.rend())
    return;
  State->stop(*Found);
  Started.erase(std::next(Found).base());
}

std::string ThreadGroup::failure() const {
  std::lock_guard<std::mutex> Lock(State->Mutex);
  return State->Failure;
}

} // namespace teaselwalk::runtime
