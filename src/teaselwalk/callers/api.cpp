#include "teaselwalk/callers/api.hpp"

#include "open_requests.hpp"
#include "route.hpp"

#include "teaselwalk/base/error.hpp"
#include "teaselwalk/callers/render.hpp"
#include "teaselwalk/runtime/log.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <atomic>
#include <string_view>
#include <utility>

namespace teaselwalk::callers {
namespace {

using protocol::Refusal;
using runtime::Counter;
using runtime::EventName;
using runtime::Level;
using runtime::Metrics;

http::Response plain(int Status, std::string Body, std::string Type) {
  http::Response Message;
  Message.Status = Status;
  Message.Body = std::move(Body);
  Message.ContentType = std::move(Type);
  return Message;
}

http::Response probe(bool Good) {
  return plain(Good ? 200 : 503, Good ? R"({"ok":true})" : R"({"ok":false})",
               "application/json");
}

} // namespace

class Api::Impl {
public:
  Impl(const ApiOptions &Options, ApiHooks Hooks, Metrics &Registry,
       std::mt19937_64 Random)
      : Options(Options), Hooks(std::move(Hooks)), Registry(Registry),
        Random(Random), Open(this->Options.MaxOpen, this->Random()),
        Received(Registry.counter("teaselwalk_caller_requests_total",
                                  "Requests of callers.")) {
    for (const EnumName<AnswerKind> &Row : AnswerKindNames)
      Waited[static_cast<size_t>(Row.Value)] =
          &Registry.timing("teaselwalk_caller_answer_seconds",
                           "Time from arrival to the engine's answer.",
                           {{"kind", std::string(Row.Name)}});
  }

  /// One request on its way through a handler.
  struct Exchange {
    const http::Request &Message;
    RequestId Request;
    const Reply &To;
  };

  void route(Exchange &Now);

  template <typename Matches>
  std::optional<OpenRequest> take(RequestToken Id, AnswerKind Kind,
                                  Matches Same);

  void onCall(Exchange &Now);
  void onJob(Exchange &Now);
  void onJobQuery(Exchange &Now);
  void onJobCancel(Exchange &Now);
  void onStatus(Exchange &Now);
  void onTimeline(Exchange &Now);
  void onMetrics(Exchange &Now);
  void onHealth(Exchange &Now);
  void onReady(Exchange &Now);

  /// Opens a request and hands the event made from its token to the engine.
  template <typename Make>
  void submit(Exchange &Now, AnswerKind Kind, Duration Deadline, Make ToEvent);

  void refuse(const Exchange &Now, Refusal Reason, const std::string &Why);
  void countRefusal(const RequestId &Request, Refusal Reason);
  void countDropped(const char *Why);
  Duration retryAfter();

  const ApiOptions Options;
  const ApiHooks Hooks;
  Metrics &Registry;
  std::mt19937_64 Random;
  OpenRequests Open;
  Counter &Received;
  std::array<runtime::Timing *, AnswerKindNames.size()> Waited{};
  std::atomic<bool> Refusing{false};
};

namespace {

/// A row of the routing table. A path that ends in '/' is a prefix.
template <typename Handler> struct Route {
  std::string_view Method;
  std::string_view Path;
  Handler Handle;
};

bool matchesPath(std::string_view Path, std::string_view Pattern) {
  if (Pattern.back() == '/')
    return Path.substr(0, Pattern.size()) == Pattern;
  return Path == Pattern;
}

} // namespace

void Api::Impl::route(Exchange &Now) {
  using Handler = void (Impl::*)(Exchange &);
  static constexpr Route<Handler> Table[] = {
      {"POST", "/v1/calls", &Impl::onCall},
      {"POST", "/v1/jobs", &Impl::onJob},
      {"GET", "/v1/jobs/", &Impl::onJobQuery},
      {"DELETE", "/v1/jobs/", &Impl::onJobCancel},
      {"GET", "/v1/status", &Impl::onStatus},
      {"GET", "/v1/timeline", &Impl::onTimeline},
      {"GET", "/metrics", &Impl::onMetrics},
      {"GET", "/healthz", &Impl::onHealth},
      {"GET", "/readyz", &Impl::onReady},
  };
  std::string Path = http::pathOf(Now.Message);
  bool KnownPath = false;
  for (const Route<Handler> &Row : Table) {
    if (!matchesPath(Path, Row.Path))
      continue;
    KnownPath = true;
    if (Now.Message.Method == Row.Method)
      return (this->*Row.Handle)(Now);
  }
  const char *Body =
      KnownPath
          ? R"({"verdict":"not_run","error":"method is not allowed here","field":"method"})"
          : R"({"verdict":"not_run","error":"no such path","field":"path"})";
  Now.To(plain(KnownPath ? 405 : 404, Body, "application/json"));
}

template <typename Make>
void Api::Impl::submit(Exchange &Now, AnswerKind Kind, Duration Deadline,
                       Make ToEvent) {
  TimePoint At = Hooks.Now();
  auto Id = Open.insert(
      {Kind, Now.Request, At, At + Deadline + Options.AnswerGrace, Now.To});
  if (!Id)
    return refuse(Now, Refusal::Overloaded,
                  "too many open requests, at most " +
                      std::to_string(Options.MaxOpen));
  if (Hooks.Submit(ToEvent(*Id)))
    return;
  Open.take(*Id, [](const OpenRequest &) { return true; });
  refuse(Now, Refusal::Overloaded, "the engine's queue is full");
}

void Api::Impl::onCall(Exchange &Now) {
  protocol::CallRequest Call =
      protocol::parseCall(Now.Message.Body, Options.Bounds);
  if (Refusing)
    return refuse(Now, Refusal::ShuttingDown, "the process is shutting down");
  Call.Request = Now.Request;
  Call.Key = Now.Message.Bearer;
  Duration Deadline = Call.Deadline;
  submit(Now, AnswerKind::Call, Deadline, [&](RequestToken Id) {
    return CallReceived{Id, std::move(Call)};
  });
}

void Api::Impl::onJob(Exchange &Now) {
  protocol::JobRequest Job{
      Now.Request, Now.Message.Bearer,
      protocol::parseJob(Now.Message.Body, Options.Bounds)};
  if (Refusing)
    return refuse(Now, Refusal::ShuttingDown, "the process is shutting down");
  submit(Now, AnswerKind::Job, Options.OtherWait, [&](RequestToken Id) {
    return JobReceived{Id, std::move(Job)};
  });
}

void Api::Impl::onJobQuery(Exchange &Now) {
  JobId Job = jobIdOf(Now.Message);
  submit(Now, AnswerKind::Job, Options.OtherWait, [&](RequestToken Id) {
    return JobQuery{Id, Now.Message.Bearer, Job};
  });
}

void Api::Impl::onJobCancel(Exchange &Now) {
  JobId Job = jobIdOf(Now.Message);
  submit(Now, AnswerKind::Job, Options.OtherWait, [&](RequestToken Id) {
    return JobCancel{Id, Now.Message.Bearer, Job};
  });
}

void Api::Impl::onStatus(Exchange &Now) {
  submit(Now, AnswerKind::Status, Options.OtherWait,
         [](RequestToken Id) { return StatusQuery{Id}; });
}

void Api::Impl::onTimeline(Exchange &Now) {
  uint64_t After = numberOf(Now.Message, "after", 0);
  nlohmann::json Body = {
      {"events", Hooks.Timeline(After, Options.TimelinePage)},
      {"page", Options.TimelinePage}};
  Now.To(plain(
      200, Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
      "application/json"));
}

void Api::Impl::onMetrics(Exchange &Now) {
  Now.To(plain(200, Hooks.MetricsText(), "text/plain; version=0.0.4"));
}

void Api::Impl::onHealth(Exchange &Now) { Now.To(probe(Hooks.IsHealthy())); }

void Api::Impl::onReady(Exchange &Now) {
  Now.To(probe(!Refusing && Hooks.IsReady()));
}

void Api::Impl::refuse(const Exchange &Now, Refusal Reason,
                       const std::string &Why) {
  countRefusal(Now.Request, Reason);
  Now.To(
      renderRefusal(Now.Request, Reason, Verdict::NotRun, Why, retryAfter()));
}

void Api::Impl::countRefusal(const RequestId &Request, Refusal Reason) {
  std::string Name(protocol::rowOf(Reason).Name);
  Registry
      .counter("teaselwalk_caller_refusals_total",
               "Requests refused by the HTTP API.", {{"reason", Name}})
      .add();
  runtime::logEvent(Level::Info, EventName::RequestRefused,
                    {{"request", Request.str()}, {"reason", Name}});
}

Duration Api::Impl::retryAfter() {
  std::uniform_int_distribution<int64_t> Range(Options.MinRetryAfter.count(),
                                               Options.MaxRetryAfter.count());
  return Duration(Range(Random));
}

void Api::Impl::countDropped(const char *Why) {
  Registry
      .counter("teaselwalk_caller_answers_dropped_total",
               "Answers that matched no open request.", {{"reason", Why}})
      .add();
  runtime::logEvent(Level::Warn, EventName::AnswerDropped, {{"reason", Why}});
}

template <typename Matches>
std::optional<OpenRequest> Api::Impl::take(RequestToken Id, AnswerKind Kind,
                                           Matches Same) {
  bool Known = false;
  auto Item = Open.take(Id, [&](const OpenRequest &Candidate) {
    Known = true;
    return Candidate.Kind == Kind && Same(Candidate);
  });
  if (!Item) {
    countDropped(Known ? "mismatch" : "unknown");
    return Item;
  }
  Duration Taken = Hooks.Now() - Item->Received;
  Waited[static_cast<size_t>(Kind)]->record(static_cast<double>(Taken.count()) /
                                            1000);
  return Item;
}

Api::Api(const ApiOptions &Options, ApiHooks Hooks, Metrics &Registry,
         std::mt19937_64 Random)
    : State(std::make_unique<Impl>(Options, std::move(Hooks), Registry,
                                   Random)) {}

Api::~Api() = default;

void Api::handle(const http::Request &Message, const Reply &To) {
  State->Received.add();
  Impl::Exchange Now{Message, RequestId(), To};
  try {
    Now.Request = requestIdOf(Message, State->Random);
    State->route(Now);
  } catch (const InvalidInput &Mistakes) {
    State->countRefusal(Now.Request, Refusal::BadRequest);
    To(render(Now.Request, Mistakes));
  }
}

bool Api::answer(RequestToken Id, const protocol::CallAnswer &Answer) {
  auto Item =
      State->take(Id, AnswerKind::Call, [&](const OpenRequest &Candidate) {
        return Candidate.Request == Answer.Request;
      });
  if (Item)
    Item->To(render(Answer));
  return Item.has_value();
}

bool Api::answerJob(RequestToken Id, const JobAnswer &Answer) {
  auto Item = State->take(Id, AnswerKind::Job,
                          [](const OpenRequest &) { return true; });
  if (Item)
    Item->To(render(Item->Request, Answer));
  return Item.has_value();
}

bool Api::answerStatus(RequestToken Id, const nlohmann::json &Status) {
  auto Item = State->take(Id, AnswerKind::Status,
                          [](const OpenRequest &) { return true; });
  if (Item)
    Item->To(plain(
        200,
        Status.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
        "application/json"));
  return Item.has_value();
}

void Api::expire() {
  for (OpenRequest &Item : State->Open.takeExpired(State->Hooks.Now()))
    Item.To(renderRefusal(Item.Request, Refusal::DeadlinePassed,
                          Verdict::MayHaveRun, "no answer in time",
                          Duration(0)));
}

void Api::refuseNewWork() { State->Refusing = true; }

size_t Api::open() const { return State->Open.size(); }

} // namespace teaselwalk::callers
