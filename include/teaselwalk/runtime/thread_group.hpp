#pragma once

#include <functional>
#include <memory>
#include <string>

/// Named threads of the process. Each is a CAF `detached` actor.
namespace teaselwalk::runtime {

/// What a thread does. `Run` works until `Stop` was called; `Stop` is called
/// once, from another thread, possibly before `Run` starts.
struct ThreadBody {
  std::function<void()> Run;
  std::function<void()> Stop;
};

/// All threads of a process, and the CAF actor system that runs them.
/// Not thread-safe: start and stop threads from one thread.
///
/// ```cpp
/// ThreadGroup Threads;
/// Threads.start("callers", {[&] { Server.run(); }, [&] { Server.stop(); }});
/// Threads.stopAll();
/// ```
class ThreadGroup {
public:
  ThreadGroup();

  /// Stops and joins the threads that still run.
  ~ThreadGroup();
  ThreadGroup(const ThreadGroup &) = delete;
  ThreadGroup &operator=(const ThreadGroup &) = delete;

  /// Starts a thread called \p Name, of which the system shows 15 characters.
  /// An exception that leaves `Run` ends the thread and is kept for
  /// `failure()`.
  void start(const std::string &Name, ThreadBody Body);

  /// Stops the threads in reverse order of their start, and joins each before
  /// the next is stopped.
  void stopAll();

  /// Stops and joins the thread started last under \p Name, if one runs.
  void stop(const std::string &Name);

  /// Name and error of the first thread that ended by an exception, or "".
  std::string failure() const;

private:
  class Impl;
  std::unique_ptr<Impl> State;
};

} // namespace teaselwalk::runtime
