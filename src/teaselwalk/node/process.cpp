#include "teaselwalk/node/process.hpp"

#include "core_loop.hpp"
#include "http_peer_calls.hpp"
#include "probe_responder.hpp"
#include "recorder.hpp"
#include "rejection_log.hpp"

#include "platform/advisor.hpp"
#include "platform/documents.hpp"
#include "platform/endpoints.hpp"
#include "platform/ingress.hpp"
#include "platform/store.hpp"

#include "teaselwalk/base/error.hpp"
#include "teaselwalk/http/server.hpp"
#include "teaselwalk/runtime/log.hpp"
#include "teaselwalk/runtime/thread_group.hpp"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <memory>
#include <random>
#include <thread>

namespace teaselwalk::node {
namespace {

/// File descriptors kept free for the log, timers and the other servers.
constexpr int64_t ReservedFileDescriptors = 300;

/// New connections arrive until the platform has noticed that the process is
/// not ready: after two failed readiness probes, which it sends once a second.
constexpr Duration UnreadyNoticeTime{2300};
constexpr Duration DrainPollInterval{20};
/// Idle connections are closed this long after the first answers that close
/// theirs, so that few clients find a connection closed that they have used.
constexpr Duration IdleCloseDelay{500};
/// Wait before the sockets are closed, so that the last answers reach their
/// clients.
constexpr Duration FlushDelay{250};

/// Upper bound, itself excluded, of the random delay before a claim of the
/// ownership. Spreads the claims so that the processes do not compete at once.
constexpr int MaxClaimDelayMs = 60;

/// The process is not ready if the scheduler last reported readiness this long
/// ago, as when its thread is blocked.
constexpr Duration MaxReadinessAge{1000};
constexpr Duration ReadinessPublishInterval{100};

/// The load of the process is measured over this time. It is logged if the
/// scheduler was busier or further behind than these bounds.
constexpr Duration LoadInterval{1000};
constexpr int64_t MinLoggedItems = 1000;
constexpr Duration MinLoggedDelay{100};

/// What one of the servers may hold: a share of the memory of the VM, for the
/// bytes of requests and answers, and of the file descriptors.
struct ServerShare {
  const char *Name; ///< In metrics and log lines.
  double OfMemory;
  double OfDescriptors;
  size_t MaxBodyBytes;
};

/// Together a quarter of the memory; the rest is for the scheduler.
constexpr ServerShare CallersShare = {"callers", 0.18, 0.3, 1 << 20};
constexpr ServerShare PeersShare = {"peers", 0.06, 0.12, 1 << 20};
constexpr ServerShare ReadinessShare = {"readiness", 0.01, 0.02, 0};
/// Of the descriptors, for the connections that this process opens: to
/// endpoints and other processes, and to the store.
constexpr double SenderShare = 0.46;
constexpr double ControlSenderShare = 0.1;

/// Of the connections of a server, at most this share has one address.
constexpr double AddressShare = 0.75;

size_t shareOf(int64_t Total, double Share, size_t Least) {
  return std::max(Least,
                  static_cast<size_t>(static_cast<double>(Total) * Share));
}

size_t maxConnections(int64_t MaxDescriptors, double Share) {
  constexpr size_t Least = 16;
  return shareOf(std::max<int64_t>(0, MaxDescriptors - ReservedFileDescriptors),
                 Share, Least);
}

http::ServerOptions serverOptions(const protocol::Address &At,
                                  const NodeSettings &Given,
                                  const ServerShare &Share,
                                  RejectionLog &Rejections) {
  constexpr size_t LeastBytes = 1 << 18;
  http::ServerOptions Options;
  Options.Ip = At.Ip;
  Options.Port = At.Port;
  Options.MaxBodyBytes = Share.MaxBodyBytes;
  Options.MaxHeaderBytes = 16384;
  Options.MaxConnections =
      maxConnections(Given.MaxDescriptors, Share.OfDescriptors);
  Options.MaxConnectionsPerAddress = static_cast<size_t>(
      static_cast<double>(Options.MaxConnections) * AddressShare);
  Options.Budget = std::make_shared<http::ByteBudget>(
      shareOf(Given.MemoryMb << 20, Share.OfMemory, LeastBytes));
  Options.OnRejected = [&Rejections](http::Rejection Why,
                                     const std::string &Address) {
    Rejections.add(Why, Address);
  };
  return Options;
}

http::ClientOptions clientOptions(int64_t MaxDescriptors, double Share) {
  http::ClientOptions Options;
  Options.MaxConnections = maxConnections(MaxDescriptors, Share);
  Options.MaxConnectionsPerPeer = 24;
  return Options;
}

runtime::LogOptions logOptions() {
  runtime::LogOptions Options;
  Options.ToOutput = true;
  Options.RingCapacity = 4096;
  return Options;
}

} // namespace

class Process::Impl {
public:
  explicit Impl(const NodeSettings &Given)
      : Settings(Given), Log(Threads, logOptions()), Events(Registry),
        Store(ControlSender, Given.Store, corePoster(Lane::Control),
              http::PeerKind::Control),
        CallerStore(ControlSender, Given.Store, corePoster(Lane::Control)),
        Endpoints(Sender, corePoster(Lane::Bulk)),
        LocalAdvisor(Sender, Given.Advisor, corePoster(Lane::Bulk)),
        Peers(ControlSender, Sender, Core),
        AdvisoryService(LocalAdvisor, Peers),
        Scheduler({Core, Core.control(), Store, CallerStore, Endpoints,
                   AdvisoryService, Peers, Events},
                  schedulerOptions()),
        OwnerProbes(Scheduler.processId(), Core),
        CallerServer(
            callerOptions(Given),
            [this](const http::Request &Message, const http::Responder &To) {
              handleCaller(Message, To);
            }),
        ReadinessServer(
            serverOptions(Given.Readiness, Given, ReadinessShare,
                          ReadinessRejections),
            [this](const http::Request &, const http::Responder &To) {
              To.send({isReady() ? 200 : 503, "{}"});
            }),
        PeerServer(
            serverOptions(Given.Peers, Given, PeersShare, PeerRejections),
            [this](const http::Request &Message, const http::Responder &To) {
              handlePeer(Message, To);
            }) {
    runtime::logEvent(
        runtime::Level::Info, EventName::ProcessStarted,
        {{"name", Given.Name},
         {"data_centre", Given.DataCentre},
         {"callers_port", Given.Callers.Port},
         {"features", Given.Features.value_or(defaultFeatures(Given)).str()},
         {"peer_port", Given.Peers.Port}});
    startThread("control-client", ControlSender);
    startThread("client", Sender);
    Threads.start("core", {[this] { Core.run(); }, [this] { Core.stop(); }});
    startThread("owner-probes", OwnerProbes);
    startThread("peers", PeerServer);
    startThread("probes", ReadinessServer);
    startThread("callers", CallerServer);
    Core.tryPost([this] {
      Scheduler.start();
      publishReadiness();
      reportLoad();
    });
  }

  ~Impl() { Threads.stopAll(); }

  bool drain(Duration Limit) {
    auto End = std::chrono::steady_clock::now() + Limit;
    runtime::logEvent(runtime::Level::Info, EventName::ProcessStopping,
                      {{"limit_ms", Limit.count()}});
    Draining = true;
    Core.post([this] { Scheduler.stop(); }, Lane::Control);
    std::this_thread::sleep_for(std::min(UnreadyNoticeTime, Limit));
    CallerServer.stopAccepting();
    // Requests still arrive on open connections. Only when all connections are
    // closed can no request be read whose answer would be lost by the exit.
    auto CloseIdleAt = std::chrono::steady_clock::now() + IdleCloseDelay;
    for (auto Now = std::chrono::steady_clock::now();
         CallerServer.connections() > 0 && Now < End;
         Now = std::chrono::steady_clock::now()) {
      if (Now >= CloseIdleAt)
        CallerServer.closeIdle();
      std::this_thread::sleep_for(DrainPollInterval);
    }
    bool IsComplete = CallerServer.pending() == 0;
    std::this_thread::sleep_for(FlushDelay);
    runtime::logEvent(runtime::Level::Info, EventName::ProcessStopped,
                      {{"unanswered", CallerServer.pending()}});
    return IsComplete;
  }

private:
  /// Starts a thread that runs the loop of \p Body.
  template <typename Loop> void startThread(const char *Name, Loop &Body) {
    Threads.start(Name, {[&Body] { Body.run(); }, [&Body] { Body.stop(); }});
  }

  /// Returns a function that queues answers of the platform's services on
  /// \p To of `Core`.
  adapter::Post corePoster(Lane To) {
    return [this, To](std::function<void()> Work) {
      Core.post(std::move(Work), To);
    };
  }

  cell::SchedulerCoreOptions schedulerOptions() {
    std::random_device Entropy;
    cell::SchedulerCoreOptions Options;
    Options.VmName = Settings.Name;
    Options.ProcessId = Settings.Name + '#' + std::to_string(Entropy());
    Options.PeerAddress = Settings.Peers;
    Options.Cores = Settings.Cores;
    Options.ClaimDelay =
        Duration(static_cast<int64_t>(Entropy() % MaxClaimDelayMs));
    Options.KeyRevocation = Settings.Limits.KeyRevocation;
    Options.Owner.Features =
        Settings.Features.value_or(defaultFeatures(Settings));
    Options.Owner.MaxTaskLease = Settings.Limits.MaxTaskLease;
    Options.Owner.MaxRecordBytes =
        static_cast<size_t>(Settings.MaxStoreValueBytes);
    Options.Owner.StatusKept = Settings.Limits.StatusKept;
    Options.Owner.EndpointPrefix = adapter::EndpointPrefix;
    Options.Owner.DecodeEndpoint = adapter::decodeEndpoint;
    Options.OperatorPrefix = adapter::OperatorPrefix;
    Options.ApplyOperatorItem = adapter::applyOperatorItem;
    Options.DecodeSubmission = adapter::decodeSubmission;
    Options.ConfigurationChanged = [this](const cell::Configuration &Newest) {
      std::atomic_store(&PublishedConfig,
                        std::make_shared<const cell::Configuration>(Newest));
    };
    return Options;
  }

  http::ServerOptions callerOptions(const NodeSettings &Given) {
    http::ServerOptions Options =
        serverOptions(Given.Callers, Given, CallersShare, CallerRejections);
    Options.CheckHead = [this](const http::Request &Head) {
      return adapter::checkHead(Head, std::atomic_load(&PublishedConfig).get());
    };
    return Options;
  }

  /// Stores the readiness of the scheduler for the thread that answers probes.
  void publishReadiness() {
    ReadyAtMs = Scheduler.isReady() ? Core.now().time_since_epoch().count() : 0;
    Core.control().after(ReadinessPublishInterval,
                         [this] { publishReadiness(); });
  }

  /// Logs how far the scheduler was behind in the last interval and what it
  /// did meanwhile.
  void reportLoad() {
    Core.after(LoadInterval, [this] { reportLoad(); });
    CoreLoad Load = Core.takeLoad();
    Duration Delay = std::max(Load.MaxQueueTime, Load.MaxTimerDelay);
    Events.time("core_delay", Delay);
    runtime::Fields Values{{"items", Load.Items},
                           {"queued", static_cast<int64_t>(Core.queueLength())},
                           {"queue_ms", Load.MaxQueueTime.count()},
                           {"timer_late_ms", Load.MaxTimerDelay.count()}};
    IntervalFigures Figures = Events.takeInterval();
    for (const auto &[Name, Amount] : Figures.Counts)
      Values.emplace_back(Name, Amount);
    for (const auto &[Name, Longest] : Figures.LongestTimes)
      Values.emplace_back(std::string(Name) + "_max_ms", Longest.count());
    if (Load.Items >= MinLoggedItems || Delay >= MinLoggedDelay)
      runtime::logEvent(runtime::Level::Info, EventName::ProcessLoad,
                        std::move(Values));
  }

  bool isReady() const {
    Duration Age = Core.now() - timeAt(ReadyAtMs);
    return !Draining && Age < MaxReadinessAge;
  }

  void handleCaller(const http::Request &Message, const http::Responder &To) {
    auto Request = adapter::decodeRequest(Message, Core.now());
    cell::CallerAction Action = Request.Action;
    bool IsQueued = Core.tryPost([this, Request = std::move(Request), To] {
      Scheduler.handle(Request, [To, Action = Request.Action](
                                    const cell::CallerAnswer &Answer) {
        To.send(adapter::encodeAnswer(Action, Answer));
      });
    });
    if (IsQueued)
      return;
    cell::CallerAnswer Overloaded{cell::RequestOutcome::Refused,
                                  "too many requests"};
    Overloaded.RetryAfter = Duration(1000);
    To.send(adapter::encodeAnswer(Action, Overloaded));
  }

  void handlePeer(const http::Request &Message, const http::Responder &To) {
    std::string Path = http::pathOf(Message);
    if (Path == "/metrics")
      return To.send({200, Registry.render(), "text/plain"});
    if (Path == IdentifyPath)
      return answerIdentify(Message, To);
    bool IsQueued = Core.tryPost(
        [this, Message, To, Path] { dispatchPeer(Path, Message, To); },
        Path == HealthPath ? Lane::Control : Lane::Bulk);
    if (!IsQueued)
      To.send({503, "{}"});
  }

  /// Answers a probe, after the delay that it names.
  void answerIdentify(const http::Request &Message, const http::Responder &To) {
    int64_t Wait = 0;
    std::string Text = http::queryOf(Message, "wait_ms").value_or("0");
    std::from_chars(Text.data(), Text.data() + Text.size(), Wait);
    OwnerProbes.answer(Duration(Wait), [To](const cell::ProbeAnswer &Answer) {
      To.send({200, encode(Answer)});
    });
  }

  /// Answers a request of another process, on the thread of `Core`.
  void dispatchPeer(const std::string &Path, const http::Request &Message,
                    const http::Responder &To) {
    if (Path == JobPath)
      return To.send({200, encode(Scheduler.localJob(JobId(
                               http::queryOf(Message, "id").value_or(""))))});
    if (Path == PendingPath)
      return To.send({200, encode(Scheduler.localPending(
                               http::queryOf(Message, "queue").value_or("")))});
    if (Path == HealthPath)
      return To.send(
          {200, encode(Scheduler.ownerHealth(
                    http::queryOf(Message, "process").value_or("")))});
    if (Path != AdvicePath)
      return To.send({404, "{}"});
    try {
      ForwardedAdviceRequest Asked = decodeForwardedAdviceRequest(Message.Body);
      LocalAdvisor.ask(Asked.Step, Asked.Candidates, Asked.Timeout,
                       [To](const cell::Advice &Answer) {
                         To.send({200, encode(Answer)});
                       });
    } catch (const Error &Failure) {
      runtime::logEvent(runtime::Level::Warn, EventName::PeerMessageLost,
                        {{"reason", Failure.what()}});
      To.send({400, "{}"});
    }
  }

  NodeSettings Settings;
  runtime::Metrics Registry;
  runtime::ThreadGroup Threads;
  runtime::Log Log;
  EventRecorder Events;
  CoreLoop Core;
  /// For the store and the health of the owner.
  http::Client ControlSender{
      clientOptions(Settings.MaxDescriptors, ControlSenderShare)};
  /// For endpoints, the advisory service and queries of callers.
  http::Client Sender{clientOptions(Settings.MaxDescriptors, SenderShare)};
  adapter::PlatformStore Store;
  adapter::PlatformStore CallerStore;
  adapter::PlatformEndpoints Endpoints;
  adapter::PlatformAdvisor LocalAdvisor;
  HttpPeerCalls Peers;
  AdviceRouter AdvisoryService;
  cell::SchedulerCore Scheduler;
  ProbeResponder OwnerProbes;
  std::atomic<bool> Draining{false};
  /// When the scheduler last reported readiness, on the clock of `Core`; 0 if
  /// it reported that it is not ready.
  std::atomic<int64_t> ReadyAtMs{0};
  /// The newest configuration, for the thread that reads requests.
  std::shared_ptr<const cell::Configuration> PublishedConfig;
  RejectionLog CallerRejections{CallersShare.Name, Registry};
  RejectionLog ReadinessRejections{ReadinessShare.Name, Registry};
  RejectionLog PeerRejections{PeersShare.Name, Registry};
  http::Server CallerServer;
  http::Server ReadinessServer;
  http::Server PeerServer;
};

Process::Process(const NodeSettings &Settings)
    : State(std::make_unique<Impl>(Settings)) {}

Process::~Process() = default;

bool Process::drain(Duration Limit) { return State->drain(Limit); }

} // namespace teaselwalk::node
