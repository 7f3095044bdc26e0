#include "teaselwalk/runtime/log.hpp"

#include "teaselwalk/base/error.hpp"
#include "teaselwalk/runtime/bounded_ring.hpp"

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

#include <chrono>
#include <fstream>
#include <utility>

namespace teaselwalk::runtime {
namespace {

struct Line {
  Level Severity = Level::Info;
  EventName Name = EventName::ProcessStarted;
  Fields Values;
  std::chrono::system_clock::time_point At;
};

log4cplus::LogLevel levelOf(Level Value) {
  switch (Value) {
  case Level::Debug:
    return log4cplus::DEBUG_LOG_LEVEL;
  case Level::Info:
    return log4cplus::INFO_LOG_LEVEL;
  case Level::Warn:
    return log4cplus::WARN_LOG_LEVEL;
  case Level::Error:
    break;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

void startLibrary() { static log4cplus::Initializer Library; }

log4cplus::SharedAppenderPtr makeAppender(const std::string &File,
                                          bool ToOutput) {
  log4cplus::SharedAppenderPtr Appender;
  if (File.empty()) {
    Appender = new log4cplus::ConsoleAppender(!ToOutput, true);
  } else {
    // The library only reports a failure to open on standard error.
    if (!std::ofstream(File, std::ios::app))
      throw Error("cannot open log file " + File);
    Appender = new log4cplus::FileAppender(File, std::ios::app);
  }
  // UTC with milliseconds.
  Appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      "%d{%Y-%m-%dT%H:%M:%S.%q}Z %p %m%n"));
  return Appender;
}

} // namespace

class Log::Impl {
public:
  explicit Impl(const LogOptions &Options)
      : Lowest(Options.Lowest), Ring(Options.RingCapacity) {
    startLibrary();
    Writer = log4cplus::Logger::getInstance("teaselwalk");
    Writer.removeAllAppenders();
    Writer.setAdditivity(false);
    Writer.setLogLevel(levelOf(Lowest));
    Writer.addAppender(makeAppender(Options.File, Options.ToOutput));
  }

  void run() {
    while (std::optional<Line> Next = Ring.pop()) {
      reportDropped();
      write(*Next);
    }
    reportDropped();
    Writer.removeAllAppenders();
  }

  void reportDropped() {
    uint64_t Total = Ring.refused();
    if (Total == Reported)
      return;
    write({Level::Warn,
           EventName::LogLinesDropped,
           {{"lines", Total - Reported}},
           std::chrono::system_clock::now()});
    Reported = Total;
  }

  void write(const Line &Item) {
    std::string Text(nameOf(EventNames, Item.Name));
    if (!Item.Values.empty())
      Text += ' ' + toText(Item.Values);
    static const log4cplus::MappedDiagnosticContextMap NoContext;
    Writer.callAppenders(log4cplus::spi::InternalLoggingEvent(
        Writer.getName(), levelOf(Item.Severity), "", NoContext, Text, "", "",
        log4cplus::helpers::time_cast(Item.At), "", 0, ""));
  }

  const Level Lowest;
  BoundedRing<Line> Ring;

private:
  log4cplus::Logger Writer;
  uint64_t Reported = 0;
};

namespace {

/// The ring and lowest level of the current log; null if there is none.
struct Sink {
  std::shared_ptr<void> Owner;
  BoundedRing<Line> *Ring = nullptr;
  Level Lowest = Level::Info;
};

/// Read and written only by `std::atomic_load` and `std::atomic_store`.
std::shared_ptr<Sink> CurrentSink;

} // namespace

Log::Log(ThreadGroup &Threads, const LogOptions &Options)
    : Threads(Threads), State(std::make_shared<Impl>(Options)) {
  Threads.start("log", {[Held = State] { Held->run(); },
                        [Held = State] { Held->Ring.close(); }});
  std::atomic_store(&CurrentSink, std::make_shared<Sink>(Sink{
                                      State, &State->Ring, State->Lowest}));
}

Log::~Log() {
  std::atomic_store(&CurrentSink, std::shared_ptr<Sink>());
  Threads.stop("log");
}

uint64_t Log::dropped() const { return State->Ring.refused(); }

void logEvent(Level Severity, EventName Name, Fields Values) {
  std::shared_ptr<Sink> Target = std::atomic_load(&CurrentSink);
  if (!Target || Severity < Target->Lowest)
    return;
  Target->Ring->tryPush(Line{Severity, Name, std::move(Values),
                             std::chrono::system_clock::now()});
}

} // namespace teaselwalk::runtime
