#pragma once

// Stand-ins for the platform's store, workers and clients, and a runner of the
// project's `teaselwalk node`. They speak what the users' pages say, on
// loopback addresses, each connection in a thread of its own.

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace standin {

using Json = nlohmann::json;
using Lock = std::unique_lock<std::mutex>;

inline int64_t steadyMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

inline int64_t wallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void sleepMs(int64_t Ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Ms));
}

/// Waits until \p Condition holds; false if that takes longer than \p LimitMs.
template <typename Predicate>
bool waitFor(int64_t LimitMs, Predicate Condition) {
  int64_t End = steadyMs() + LimitMs;
  while (!Condition()) {
    if (steadyMs() > End)
      return false;
    sleepMs(5);
  }
  return true;
}

/// The account of a run: what was sent, answered and run, with the time since
/// its start.
class Record {
public:
  void open(const std::string &Path) {
    Out.open(Path, std::ios::trunc);
    Start = steadyMs();
  }

  template <typename... Parts> void line(const Parts &...Text) {
    std::ostringstream Joined;
    (Joined << ... << Text);
    Lock Guard(Mutex);
    char Time[32];
    std::snprintf(Time, sizeof Time, "%9.3f s  ",
                  static_cast<double>(steadyMs() - Start) / 1000);
    Out << Time << Joined.str() << std::endl;
    std::printf("%s%s\n", Time, Joined.str().c_str());
    std::fflush(stdout);
  }

private:
  std::mutex Mutex;
  std::ofstream Out;
  int64_t Start = 0;
};

inline Record &record() {
  static Record Only;
  return Only;
}

// ---------------------------------------------------------------- transport

struct Address {
  std::string Ip;
  int Port = 0;

  std::string text() const { return Ip + ':' + std::to_string(Port); }
};

inline sockaddr_in socketAddress(const Address &At) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(static_cast<uint16_t>(At.Port));
  inet_pton(AF_INET, At.Ip.c_str(), &Result.sin_addr);
  return Result;
}

/// A port of \p Ip that is free, outside of those that the system gives to
/// outgoing connections.
inline int freePort(const std::string &Ip) {
  constexpr int First = 15000, Count = 15000;
  static int Next = ::getpid() * 61 % Count;
  for (int Tries = 0; Tries < Count; ++Tries) {
    int Port = First + Next++ % Count;
    int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in At = socketAddress({Ip, Port});
    bool IsFree =
        ::bind(Socket, reinterpret_cast<sockaddr *>(&At), sizeof At) == 0;
    ::close(Socket);
    if (IsFree)
      return Port;
  }
  return 0;
}

struct Request {
  std::string Method;
  std::string Path;
  std::map<std::string, std::string> Query;
  std::map<std::string, std::string> Headers; ///< Names in small letters.
  std::string Body;
};

struct Response {
  int Status = 200;
  std::string Body = "{}";
  bool IsLost = false; ///< No answer; the connection returns nothing further.
};

inline std::string percentDecode(const std::string &Text) {
  std::string Result;
  for (size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] == '%' && I + 2 < Text.size()) {
      Result +=
          static_cast<char>(std::stoi(Text.substr(I + 1, 2), nullptr, 16));
      I += 2;
    } else {
      Result += Text[I];
    }
  }
  return Result;
}

inline std::string lower(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char Letter) { return std::tolower(Letter); });
  return Text;
}

/// Reads one message from \p Socket into head and body. False at the end of the
/// connection or after \p LimitMs without a whole message.
inline bool readMessage(int Socket, std::string &Buffer, std::string &Head,
                        std::string &Body, int64_t LimitMs) {
  int64_t End = LimitMs < 0 ? INT64_MAX : steadyMs() + LimitMs;
  while (true) {
    size_t HeadEnd = Buffer.find("\r\n\r\n");
    if (HeadEnd != std::string::npos) {
      size_t Length = 0;
      std::string Small = lower(Buffer.substr(0, HeadEnd));
      size_t At = Small.find("\r\ncontent-length:");
      if (At != std::string::npos)
        Length = std::stoul(Small.substr(At + 17));
      if (Buffer.size() >= HeadEnd + 4 + Length) {
        Head = Buffer.substr(0, HeadEnd);
        Body = Buffer.substr(HeadEnd + 4, Length);
        Buffer.erase(0, HeadEnd + 4 + Length);
        return true;
      }
    }
    int64_t Left = End == INT64_MAX ? -1 : End - steadyMs();
    if (End != INT64_MAX && Left <= 0)
      return false;
    pollfd Seen{Socket, POLLIN, 0};
    if (::poll(&Seen, 1, static_cast<int>(std::min<int64_t>(Left, 60000))) < 0)
      return false;
    if ((Seen.revents & (POLLIN | POLLHUP | POLLERR)) == 0)
      continue;
    char Bytes[65536];
    ssize_t Got = ::recv(Socket, Bytes, sizeof Bytes, 0);
    if (Got <= 0)
      return false;
    Buffer.append(Bytes, static_cast<size_t>(Got));
  }
}

inline bool writeAll(int Socket, const std::string &Text) {
  size_t Sent = 0;
  while (Sent < Text.size()) {
    ssize_t Put =
        ::send(Socket, Text.data() + Sent, Text.size() - Sent, MSG_NOSIGNAL);
    if (Put <= 0)
      return false;
    Sent += static_cast<size_t>(Put);
  }
  return true;
}

/// HTTP/1.1 server. `stop` is what a killed process looks like from outside:
/// its connections are reset and its port refuses new ones.
class Server {
public:
  using Handler = std::function<Response(const Request &)>;

  explicit Server(Handler OnRequest) : OnRequest(std::move(OnRequest)) {}
  ~Server() { stop(); }

  bool start(const Address &At) {
    Listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int On = 1;
    ::setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
    sockaddr_in Name = socketAddress(At);
    if (::bind(Listener, reinterpret_cast<sockaddr *>(&Name), sizeof Name) !=
            0 ||
        ::listen(Listener, 256) != 0) {
      ::close(Listener);
      return false;
    }
    IsUp = true;
    Acceptor = std::thread([this] { accept(); });
    return true;
  }

  void stop() {
    if (!IsUp.exchange(false))
      return;
    auto EndAll = [this] {
      Lock Guard(Mutex);
      for (int Socket : Open)
        ::shutdown(Socket, SHUT_RDWR);
    };
    ::shutdown(Listener, SHUT_RDWR);
    EndAll();
    Acceptor.join();
    ::close(Listener);
    EndAll();
    for (std::thread &Each : Threads)
      Each.join();
    Threads.clear();
  }

  bool isUp() const { return IsUp; }

private:
  void accept() {
    while (IsUp) {
      pollfd Seen{Listener, POLLIN, 0};
      if (::poll(&Seen, 1, 50) <= 0)
        continue;
      int Socket = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Socket < 0)
        continue;
      int On = 1;
      ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
      Lock Guard(Mutex);
      Open.insert(Socket);
      Threads.emplace_back([this, Socket] { serve(Socket); });
    }
  }

  void serve(int Socket) {
    std::string Buffer, Head, Body;
    while (IsUp && readMessage(Socket, Buffer, Head, Body, -1)) {
      Response Answer = OnRequest(parse(Head, Body));
      if (Answer.IsLost) {
        // Stays open and silent until the peer gives it up.
        while (IsUp && readMessage(Socket, Buffer, Head, Body, 1000)) {
        }
        break;
      }
      std::string Text = "HTTP/1.1 " + std::to_string(Answer.Status) +
                         " X\r\nContent-Type: application/json\r\n"
                         "Content-Length: " +
                         std::to_string(Answer.Body.size()) + "\r\n\r\n" +
                         Answer.Body;
      if (!IsUp || !writeAll(Socket, Text))
        break;
    }
    Lock Guard(Mutex);
    Open.erase(Socket);
    // Unread bytes or not, the peer sees a reset.
    linger Hard{1, 0};
    ::setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Hard, sizeof Hard);
    ::close(Socket);
  }

  static Request parse(const std::string &Head, std::string &Body) {
    Request Message;
    std::istringstream Lines(Head);
    std::string Line, Target;
    std::getline(Lines, Line);
    std::istringstream First(Line);
    First >> Message.Method >> Target;
    while (std::getline(Lines, Line)) {
      while (!Line.empty() && (Line.back() == '\r' || Line.back() == ' '))
        Line.pop_back();
      size_t Colon = Line.find(':');
      if (Colon == std::string::npos)
        continue;
      size_t Value = Line.find_first_not_of(' ', Colon + 1);
      Message.Headers[lower(Line.substr(0, Colon))] =
          Value == std::string::npos ? "" : Line.substr(Value);
    }
    size_t Mark = Target.find('?');
    Message.Path = Target.substr(0, Mark);
    if (Mark != std::string::npos) {
      std::istringstream Pairs(Target.substr(Mark + 1));
      std::string Pair;
      while (std::getline(Pairs, Pair, '&')) {
        size_t Equals = Pair.find('=');
        if (Equals != std::string::npos)
          Message.Query[percentDecode(Pair.substr(0, Equals))] =
              percentDecode(Pair.substr(Equals + 1));
      }
    }
    Message.Body = std::move(Body);
    return Message;
  }

  Handler OnRequest;
  std::atomic<bool> IsUp{false};
  int Listener = -1;
  std::thread Acceptor;
  std::mutex Mutex;
  std::set<int> Open;
  std::vector<std::thread> Threads;
};

/// Sends one request on a connection of its own. Status 0: no answer.
inline Response
call(const Address &To, const std::string &Method, const std::string &Path,
     const std::vector<std::pair<std::string, std::string>> &Headers,
     const std::string &Body, int64_t LimitMs) {
  Response Result;
  Result.Status = 0;
  Result.Body.clear();
  int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Name = socketAddress(To);
  if (::connect(Socket, reinterpret_cast<sockaddr *>(&Name), sizeof Name) ==
      0) {
    std::string Text = Method + ' ' + Path + " HTTP/1.1\r\n";
    for (const auto &[Key, Value] : Headers)
      Text += Key + ": " + Value + "\r\n";
    Text += "Content-Type: application/json\r\nContent-Length: " +
            std::to_string(Body.size()) + "\r\n\r\n" + Body;
    std::string Buffer, Head;
    if (writeAll(Socket, Text) &&
        readMessage(Socket, Buffer, Head, Result.Body, LimitMs))
      Result.Status = std::stoi(Head.substr(Head.find(' ') + 1));
  }
  ::close(Socket);
  return Result;
}

// -------------------------------------------------------------------- store

inline std::string base64(const std::string &Bytes) {
  static const char Letters[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Text;
  for (size_t I = 0; I < Bytes.size(); I += 3) {
    uint32_t Group = 0;
    size_t Count = std::min<size_t>(3, Bytes.size() - I);
    for (size_t J = 0; J < 3; ++J)
      Group = Group << 8 |
              (J < Count ? static_cast<unsigned char>(Bytes[I + J]) : 0U);
    for (size_t J = 0; J < 4; ++J)
      Text += J <= Count ? Letters[Group >> (18 - 6 * J) & 63] : '=';
  }
  return Text;
}

inline std::string fromBase64(const std::string &Text) {
  std::string Bytes;
  uint32_t Group = 0;
  int Bits = 0;
  for (char Letter : Text) {
    int Value = Letter >= 'A' && Letter <= 'Z'   ? Letter - 'A'
                : Letter >= 'a' && Letter <= 'z' ? Letter - 'a' + 26
                : Letter >= '0' && Letter <= '9' ? Letter - '0' + 52
                : Letter == '+'                  ? 62
                : Letter == '/'                  ? 63
                                                 : -1;
    if (Value < 0)
      break;
    Group = Group << 6 | static_cast<uint32_t>(Value);
    Bits += 6;
    if (Bits >= 8) {
      Bits -= 8;
      Bytes += static_cast<char>(Group >> Bits & 255);
    }
  }
  return Bytes;
}

/// The platform's store: linearizable, loses nothing that it has acknowledged.
class Store {
public:
  static constexpr size_t ValueBytes = 1048576;
  static constexpr size_t KeyBytes = 200;
  static constexpr size_t MostEntries = 32;
  static constexpr int64_t LeastTtlMs = 1000;
  static constexpr size_t PageItems = 500;
  static constexpr int64_t AnswerMs = 4;

  /// What becomes of one write call: carried out and answered; or not answered
  /// and carried out `LateMs` after its arrival, if its condition still holds.
  struct Fate {
    bool IsLost = false;
    int64_t LateMs = 0;
  };
  /// Decides on each write call. Called without a lock.
  std::function<Fate(const Json &Call)> FateOf;
  /// Told of each refusal of a write because of its size.
  std::atomic<int> Oversized{0};

  Store() : Front([this](const Request &Message) { return handle(Message); }) {
    Clock = std::thread([this] { run(); });
  }
  ~Store() {
    IsEnding = true;
    Changed.notify_all();
    Front.stop();
    Clock.join();
  }

  bool start(const Address &At) { return Front.start(At); }

  /// A write of the operator or of a worker.
  void put(const std::string &Key, const std::string &Value) {
    Lock Guard(Mutex);
    ++Revision;
    set(Key, base64(Value), 0);
  }
  void remove(const std::string &Key) {
    Lock Guard(Mutex);
    ++Revision;
    erase(Key);
  }
  bool has(const std::string &Key) {
    Lock Guard(Mutex);
    return Items.count(Key) != 0;
  }
  std::optional<std::string> value(const std::string &Key) {
    Lock Guard(Mutex);
    auto Found = Items.find(Key);
    if (Found == Items.end())
      return std::nullopt;
    return fromBase64(Found->second.Value);
  }

private:
  struct Item {
    std::string Value; ///< As sent, in base64.
    int64_t Revision = 0;
    int64_t Created = 0;
    int64_t Lease = 0;
  };
  struct Event {
    std::string Key;
    bool IsRemoval = false;
    Item Written;
  };
  struct Lease {
    int64_t TtlMs = 0;
    int64_t EndsAt = 0;
  };
  struct LateWrite {
    int64_t At = 0;
    Json Call;
  };

  static Json rowOf(const std::string &Key, const Item &Value) {
    return {{"key", Key},
            {"value", Value.Value},
            {"revision", Value.Revision},
            {"created_at", Value.Created},
            {"lease", Value.Lease}};
  }

  /// Writes an item at the present revision.
  void set(const std::string &Key, const std::string &Value, int64_t Of) {
    Item &Target = Items[Key];
    Target.Value = Value;
    Target.Revision = Revision;
    if (Target.Created == 0)
      Target.Created = Revision;
    Target.Lease = Of;
    History.emplace(Revision, Event{Key, false, Target});
    Changed.notify_all();
  }

  void erase(const std::string &Key) {
    if (Items.erase(Key) == 0)
      return;
    History.emplace(Revision, Event{Key, true, {}});
    Changed.notify_all();
  }

  void run() {
    while (!IsEnding) {
      sleepMs(5);
      std::vector<Json> Due;
      {
        Lock Guard(Mutex);
        int64_t Now = steadyMs();
        std::vector<int64_t> Ended;
        for (const auto &[Id, Held] : Leases)
          if (Held.EndsAt <= Now)
            Ended.push_back(Id);
        for (int64_t Id : Ended)
          endLease(Id);
        for (auto It = Late.begin(); It != Late.end();) {
          if (It->At > Now) {
            ++It;
            continue;
          }
          Due.push_back(std::move(It->Call));
          It = Late.erase(It);
        }
      }
      for (const Json &Call : Due) {
        Response Done = transact(Call);
        record().line("store: carries out a write late, which it has not "
                      "answered: status ",
                      Done.Status, " for ", summary(Call));
      }
    }
  }

  void endLease(int64_t Id) {
    Leases.erase(Id);
    ++Revision;
    std::vector<std::string> Bound;
    for (const auto &[Key, Value] : Items)
      if (Value.Lease == Id)
        Bound.push_back(Key);
    for (const std::string &Key : Bound)
      erase(Key);
  }

  static std::string summary(const Json &Call) {
    std::string Text;
    for (const Json &Put : Call.value("puts", Json::array()))
      Text += (Text.empty() ? "" : ", ") + Put.at("key").get<std::string>();
    return Text;
  }

  Response handle(const Request &Message) {
    if (Message.Path != "/kv-watch")
      sleepMs(AnswerMs);
    if (Message.Path == "/kv-key")
      return get(Message);
    if (Message.Path == "/kv-range")
      return range(Message);
    if (Message.Path == "/kv-watch")
      return watch(Message);
    if (Message.Path == "/kv-txn")
      return write(Message);
    if (Message.Path == "/kv-lease")
      return grant(Message);
    if (Message.Path.rfind("/kv-keep/", 0) == 0)
      return keep(std::stoll(Message.Path.substr(9)));
    if (Message.Path.rfind("/kv-lease-end/", 0) == 0) {
      Lock Guard(Mutex);
      endLease(std::stoll(Message.Path.substr(14)));
      return {};
    }
    return {404, "{}"};
  }

  static std::string queryOf(const Request &Message, const char *Name) {
    auto Found = Message.Query.find(Name);
    return Found == Message.Query.end() ? "" : Found->second;
  }

  Response get(const Request &Message) {
    Lock Guard(Mutex);
    auto Found = Items.find(queryOf(Message, "key"));
    if (Found == Items.end())
      return {404, Json{{"at_revision", Revision}}.dump()};
    Json Row = rowOf(Found->first, Found->second);
    Row["at_revision"] = Revision;
    return {200, Row.dump()};
  }

  Response range(const Request &Message) {
    std::string Prefix = queryOf(Message, "path_prefix");
    std::string After = queryOf(Message, "after");
    Lock Guard(Mutex);
    Json Rows = Json::array();
    bool HasMore = false;
    size_t Bytes = 0;
    for (auto It = Items.lower_bound(Prefix);
         It != Items.end() && It->first.compare(0, Prefix.size(), Prefix) == 0;
         ++It) {
      if (It->first <= After)
        continue;
      if (Rows.size() == PageItems || Bytes > 1000000) {
        HasMore = true;
        break;
      }
      Rows.push_back(rowOf(It->first, It->second));
      Bytes += It->second.Value.size();
    }
    return {200, Json{{"items", std::move(Rows)},
                      {"has_more", HasMore},
                      {"at_revision", Revision}}
                     .dump()};
  }

  Response watch(const Request &Message) {
    std::string Prefix = queryOf(Message, "path_prefix");
    int64_t After = std::stoll("0" + queryOf(Message, "after"));
    int64_t End = steadyMs() + std::stoll("0" + queryOf(Message, "wait_ms"));
    Lock Guard(Mutex);
    while (true) {
      Json Rows = Json::array();
      for (auto It = History.upper_bound(After); It != History.end(); ++It) {
        const Event &Seen = It->second;
        if (Seen.Key.compare(0, Prefix.size(), Prefix) != 0)
          continue;
        if (Seen.IsRemoval)
          Rows.push_back(
              {{"key", Seen.Key}, {"revision", It->first}, {"deleted", true}});
        else
          Rows.push_back(rowOf(Seen.Key, Seen.Written));
      }
      int64_t Left = End - steadyMs();
      if (!Rows.empty() || Left <= 0 || IsEnding)
        return {200,
                Json{{"events", std::move(Rows)}, {"at_revision", Revision}}
                    .dump()};
      Changed.wait_for(Guard, std::chrono::milliseconds(Left));
    }
  }

  Response write(const Request &Message) {
    Json Call = Json::parse(Message.Body, nullptr, false);
    if (!Call.is_object())
      return {400, "{}"};
    Fate Decided = FateOf ? FateOf(Call) : Fate{};
    if (!Decided.IsLost)
      return transact(Call);
    record().line("store: does not answer the write of ", summary(Call),
                  Decided.LateMs > 0 ? ", which it carries out " : "",
                  Decided.LateMs > 0 ? std::to_string(Decided.LateMs) : "",
                  Decided.LateMs > 0 ? " ms later" : "");
    if (Decided.LateMs > 0) {
      Lock Guard(Mutex);
      Late.push_back({steadyMs() + Decided.LateMs, std::move(Call)});
    } else {
      transact(Call);
    }
    Response Lost;
    Lost.IsLost = true;
    return Lost;
  }

  Response transact(const Json &Call) {
    const Json Conditions = Call.value("precondition", Json::array());
    const Json Puts = Call.value("puts", Json::array());
    const Json Removes = Call.value("remove", Json::array());
    Lock Guard(Mutex);
    if (Conditions.size() + Puts.size() + Removes.size() > MostEntries)
      return {400, "{}"};
    for (const Json &Put : Puts) {
      const std::string Key = Put.at("key");
      if (Key.rfind("op/", 0) == 0 || Key.rfind("servers/", 0) == 0)
        return {403, "{}"};
      const auto &Value = Put.at("value").get_ref<const std::string &>();
      if (Key.size() > KeyBytes || Value.size() / 4 * 3 > ValueBytes + 2) {
        if (Oversized++ == 0)
          record().line("store: refuses with 400 a write of ", Key, " with ",
                        Value.size() / 4 * 3, " bytes; value_bytes is ",
                        ValueBytes);
        return {400, "{}"};
      }
      int64_t Of = Put.value("lease", int64_t(0));
      if (Of != 0 && Leases.count(Of) == 0)
        return {404, "{}"};
    }
    bool Holds = true;
    Json Present = Json::array();
    for (const Json &Row : Conditions) {
      const std::string Key = Row.at("key");
      auto Found = Items.find(Key);
      int64_t Known = Found == Items.end() ? 0 : Found->second.Revision;
      Holds &= Known == Row.at("revision").get<int64_t>();
      Present.push_back(Found == Items.end()
                            ? Json{{"key", Key}, {"revision", 0}}
                            : rowOf(Key, Found->second));
    }
    if (!Holds)
      return {412, Json{{"items", std::move(Present)}}.dump()};
    // One change, so one revision for all of it.
    ++Revision;
    for (const Json &Put : Puts)
      set(Put.at("key"), Put.at("value"), Put.value("lease", int64_t(0)));
    for (const Json &Key : Removes)
      erase(Key);
    return {200, Json{{"revision", Revision}}.dump()};
  }

  Response grant(const Request &Message) {
    Json Call = Json::parse(Message.Body, nullptr, false);
    int64_t Ttl = std::max(LeastTtlMs, Call.value("ttl_ms", LeastTtlMs));
    Lock Guard(Mutex);
    int64_t Id = ++LastLease;
    Leases[Id] = {Ttl, steadyMs() + Ttl};
    return {200, Json{{"lease", Id}, {"ttl_ms", Ttl}}.dump()};
  }

  Response keep(int64_t Id) {
    Lock Guard(Mutex);
    auto Found = Leases.find(Id);
    if (Found == Leases.end())
      return {404, "{}"};
    Found->second.EndsAt = steadyMs() + Found->second.TtlMs;
    return {200, Json{{"lease", Id}, {"ttl_ms", Found->second.TtlMs}}.dump()};
  }

  Server Front;
  std::thread Clock;
  std::atomic<bool> IsEnding{false};
  std::mutex Mutex;
  std::condition_variable Changed;
  int64_t Revision = 100;
  std::map<std::string, Item> Items;
  std::multimap<int64_t, Event> History; ///< By revision.
  std::map<int64_t, Lease> Leases;
  int64_t LastLease = 0;
  std::vector<LateWrite> Late;
};

// ------------------------------------------------------------------- worker

struct Start {
  std::string Worker;
  std::string Task;
  int64_t Run = 0;
  int64_t AtMs = 0; ///< Steady clock of the test.
};

struct End {
  std::string Worker;
  std::string Task;
  int64_t Run = 0;
  std::string How;
  int64_t AtMs = 0;
};

/// What all workers have seen.
class Account {
public:
  /// Starts and ends are counted only, not written to the record.
  std::atomic<bool> IsQuiet{false};

  void add(Start Seen) {
    if (!IsQuiet)
      record().line("worker ", Seen.Worker, ": starts ", Seen.Task, " run ",
                    Seen.Run);
    Lock Guard(Mutex);
    Starts.push_back(std::move(Seen));
  }
  void add(End Seen) {
    if (!IsQuiet)
      record().line("worker ", Seen.Worker, ": ended ", Seen.Task, " run ",
                    Seen.Run, " ", Seen.How);
    Lock Guard(Mutex);
    Ends.push_back(std::move(Seen));
  }
  std::vector<Start> starts() {
    Lock Guard(Mutex);
    return Starts;
  }
  std::vector<End> ends() {
    Lock Guard(Mutex);
    return Ends;
  }

private:
  std::mutex Mutex;
  std::vector<Start> Starts;
  std::vector<End> Ends;
};

struct WorkerOptions {
  std::string Id;
  std::string Service;
  std::string Zone;
  std::string Kind;
  std::string Rack;
  int64_t MilliCpu = 64000;
  int64_t MemoryMb = 131072;
  int64_t HoldMaxMs = 6000;
  int64_t StopMs = 20;
  int64_t BeatMs = 1500;
};

/// A worker with `control_mode` = "call". How long a task works, and how it
/// ends, stands in its `spec`: {"ms":N,"end":"done"}; without "ms" it lasts.
class Worker {
public:
  Worker(Store &Registry, Account &Seen, WorkerOptions Given)
      : Registry(Registry), Seen(Seen), Options(std::move(Given)),
        Front([this](const Request &Message) { return handle(Message); }) {}
  ~Worker() {
    IsEnding = true;
    Front.stop();
    if (Clock.joinable())
      Clock.join();
  }

  const std::string &id() const { return Options.Id; }

  bool start(const Address &On) {
    At = On;
    begin();
    if (!Front.start(At))
      return false;
    announce();
    Clock = std::thread([this] { run(); });
    return true;
  }

  /// The process is gone, and all that it ran and knew with it.
  void crash() {
    {
      Lock Guard(Mutex);
      record().line("worker ", Options.Id, ": crashes with ", Running.size(),
                    " tasks");
      IsUp = false;
      Running.clear();
      Ended.clear();
      Highest.clear();
      Fence = 0;
    }
    Front.stop();
  }

  /// Starts again under the same id, as another kind if \p Kind is not empty.
  void restart(const std::string &Kind = "") {
    if (!Kind.empty())
      Options.Kind = Kind;
    begin();
    announce();
    waitFor(3000, [this] { return Front.start(At); });
    record().line("worker ", Options.Id, ": is back, kind ", Options.Kind);
  }

  bool isUp() {
    Lock Guard(Mutex);
    return IsUp;
  }

  size_t running() {
    Lock Guard(Mutex);
    return Running.size();
  }
  bool runs(const std::string &Task) {
    Lock Guard(Mutex);
    return std::any_of(Running.begin(), Running.end(),
                       [&](const Run &Each) { return Each.Task == Task; });
  }

private:
  struct Run {
    std::string Task;
    int64_t Number = 0;
    int64_t StartedAt = 0; ///< On the worker's clock, like the others.
    int64_t EndsAt = 0;    ///< 0: lasts.
    std::string How;
    int64_t StopAt = 0; ///< 0: is not being stopped.
  };
  struct EndRow {
    int64_t Number = 0;
    std::string Task;
    int64_t Run = 0;
    std::string How;
  };

  void begin() {
    Lock Guard(Mutex);
    Born = wallMs();
    BornSteady = steadyMs() - 10;
    LastEnd = 0;
    Deadline = 0;
    IsUp = true;
  }

  int64_t clock() const { return steadyMs() - BornSteady; }

  void announce() {
    Lock Guard(Mutex);
    NextBeat = steadyMs() + Options.BeatMs;
    Registry.put("servers/" + Options.Id,
                 Json{{"id", Options.Id},
                      {"service", Options.Service},
                      {"address", At.text()},
                      {"zone", Options.Zone},
                      {"version", 1},
                      {"slots", 8},
                      {"state", "ready"},
                      {"sequence", ++Sequence},
                      {"born", Born},
                      {"capacity",
                       {{"cpu", Options.MilliCpu},
                        {"task_memory_mb", Options.MemoryMb}}},
                      {"labels", {Options.Kind, Options.Rack}}}
                     .dump());
  }

  void run() {
    while (!IsEnding) {
      sleepMs(5);
      std::vector<End> New;
      bool IsBeatDue = false;
      {
        Lock Guard(Mutex);
        if (!IsUp) {
          // Its entry goes after three intervals of silence.
          if (steadyMs() > NextBeat + 2 * Options.BeatMs &&
              Registry.has("servers/" + Options.Id))
            Registry.remove("servers/" + Options.Id);
          continue;
        }
        int64_t Now = clock();
        for (auto It = Running.begin(); It != Running.end();) {
          std::string How;
          if (Now >= Deadline)
            How = "lapsed";
          else if (It->StopAt != 0 && Now >= It->StopAt)
            How = "stopped";
          else if (It->EndsAt != 0 && Now >= It->EndsAt)
            How = It->How;
          if (How.empty()) {
            ++It;
            continue;
          }
          Ended.push_back({++LastEnd, It->Task, It->Number, How});
          noteHighest(It->Task, It->Number);
          New.push_back({Options.Id, It->Task, It->Number, How, steadyMs()});
          It = Running.erase(It);
        }
        IsBeatDue = steadyMs() >= NextBeat;
      }
      for (End &Each : New)
        Seen.add(std::move(Each));
      if (IsBeatDue)
        announce();
    }
  }

  void noteHighest(const std::string &Task, int64_t Number) {
    Highest[Task] = std::max(Highest[Task], Number);
  }

  Response refuse(const char *Reason) {
    return {
        409,
        Json{{"clock_ms", clock()}, {"reason", Reason}, {"born", Born}}.dump()};
  }

  Response done() {
    return {200, Json{{"clock_ms", clock()}, {"born", Born}}.dump()};
  }

  void extend(int64_t Until) {
    Deadline = std::max(Deadline, std::min(Until, clock() + Options.HoldMaxMs));
  }

  Response handle(const Request &Message) {
    auto Expected = Message.Headers.find("expected-instance");
    if (Expected != Message.Headers.end() && Expected->second != Options.Id)
      return {421, "{}"};
    if (Message.Method == "GET")
      return {200, "{}"};
    Json Call = Json::parse(Message.Body, nullptr, false);
    if (!Call.is_object())
      return {400, "{}"};
    Lock Guard(Mutex);
    if (!IsUp)
      return {503, "{}", true};
    int64_t Token = Call.value("fencing_token", int64_t(0));
    if (Token < Fence)
      return refuse("fence");
    Fence = Token;
    if (Message.Path == "/run-start")
      return startRun(Call);
    if (Message.Path == "/run-stop")
      return stopRun(Call);
    if (Message.Path == "/pace")
      return done();
    if (Message.Path == "/hold")
      return hold(Call, Guard);
    return {400, "{}"};
  }

  Response startRun(const Json &Call) {
    const std::string Task = Call.at("task");
    int64_t Number = Call.at("run");
    int64_t Until = Call.value("deadline_ms", int64_t(0));
    for (const Run &Each : Running)
      if (Each.Task == Task && Each.Number == Number)
        return done();
    auto Known = Highest.find(Task);
    if (Known != Highest.end() && Number <= Known->second) {
      extend(Until);
      return refuse("old");
    }
    if (Until <= clock())
      return refuse("late");
    extend(Until);
    Json Spec = Json::parse(Call.value("spec", "{}"), nullptr, false);
    Run Added{Task, Number, clock(), 0, "done", 0};
    if (Spec.is_object() && Spec.contains("ms"))
      Added.EndsAt = clock() + Spec.at("ms").get<int64_t>();
    if (Spec.is_object())
      Added.How = Spec.value("end", "done");
    Running.push_back(std::move(Added));
    Seen.add(Start{Options.Id, Task, Number, steadyMs()});
    return done();
  }

  Response stopRun(const Json &Call) {
    const std::string Task = Call.at("task");
    int64_t Number = Call.at("run");
    bool IsThere = false;
    for (Run &Each : Running)
      if (Each.Task == Task && Each.Number == Number) {
        IsThere = true;
        if (Each.StopAt == 0)
          Each.StopAt = clock() + Options.StopMs;
      }
    if (!IsThere)
      noteHighest(Task, Number);
    return done();
  }

  Response hold(const Json &Call, Lock &Guard) {
    int64_t Seen = Call.value("last_seen", int64_t(0));
    while (!Ended.empty() && Ended.front().Number <= Seen)
      Ended.pop_front();
    extend(Call.value("deadline_ms", int64_t(0)));
    int64_t Wait = steadyMs() + Call.value("wait_ms", int64_t(0));
    int64_t Incarnation = Born;
    while (Ended.empty() && steadyMs() < Wait) {
      Guard.unlock();
      sleepMs(5);
      Guard.lock();
      if (!IsUp || Born != Incarnation)
        return {503, "{}", true};
    }
    Json Rows = Json::array();
    for (const Run &Each : Running)
      Rows.push_back(
          {Each.Task, Each.Number, "",
           Each.EndsAt == 0
               ? 100
               : 100 * (clock() - Each.StartedAt) /
                     std::max<int64_t>(1, Each.EndsAt - Each.StartedAt),
           0});
    Json Ends = Json::array();
    for (const EndRow &Each : Ended)
      if (Ends.size() < 500)
        Ends.push_back({Each.Number, Each.Task, Each.Run, Each.How, ""});
    return {200, Json{{"clock_ms", clock()},
                      {"born", Born},
                      {"running", std::move(Rows)},
                      {"ended_runs", std::move(Ends)}}
                     .dump()};
  }

  Store &Registry;
  Account &Seen;
  WorkerOptions Options;
  Address At;
  Server Front;
  std::thread Clock;
  std::atomic<bool> IsEnding{false};
  std::mutex Mutex;
  bool IsUp = false;
  int64_t Born = 0;
  int64_t BornSteady = 0;
  int64_t Sequence = 0;
  int64_t NextBeat = 0;
  int64_t Deadline = 0;
  int64_t Fence = 0;
  int64_t LastEnd = 0;
  std::vector<Run> Running;
  std::deque<EndRow> Ended;
  std::map<std::string, int64_t> Highest; ///< Latest run ended or stopped.
};

// -------------------------------------------------------------- entry process

/// `teaselwalk node` as a process of its own.
class Node {
public:
  Node(std::string Name, std::string Ip)
      : Name(std::move(Name)), Ip(std::move(Ip)) {}
  ~Node() { kill(SIGKILL); }

  Address callers() const { return {Ip, CallersPort}; }
  Address readiness() const { return {Ip, ReadinessPort}; }
  const std::string &name() const { return Name; }

  void prepare(const std::string &Folder, const std::string &Zone,
               const Address &StoreAt) {
    CallersPort = freePort(Ip);
    ReadinessPort = freePort(Ip);
    int PeerPort = freePort(Ip);
    Json Bounds = {{"contact_timeout_ms", 3000},
                   {"ack_timeout_ms", 4000},
                   {"drain_timeout_ms", 2000},
                   {"grace_period_s", 6},
                   {"config_apply_ms", 2000},
                   {"revocation_ms", 5000},
                   {"evacuation_ms", 5000},
                   {"hold_max_ms", 6000},
                   {"stop_timeout_ms", 900},
                   {"gang_timeout_ms", 3000},
                   {"cancel_ms", 3000},
                   {"visible_ms", 3000},
                   {"status_s", 120}};
    Json Boot = {
        {"node_name", Name},
        {"role", "entry"},
        {"machine_class", "frontend"},
        {"serves", {"frontend"}},
        {"ip", Ip},
        {"zone", Zone},
        {"region", "cz-south"},
        {"listen_addresses",
         {{"frontend", callers().text()}, {"readiness", readiness().text()}}},
        {"internal_port_range", {PeerPort, PeerPort}},
        {"seed_nodes", Json::array()},
        {"bootstrap", true},
        {"limits",
         {{"cpu_share", 0.25},
          {"cores", 1},
          {"memory_mb", 260},
          {"max_file_descriptors", 4100}}},
        {"data_dir", nullptr},
        {"heartbeat_interval_ms", 1500},
        {"bounds", Bounds},
        {"control_mode", "call"},
        {"platform",
         {{"address", StoreAt.text()},
          {"form", "kv"},
          {"value_bytes", 1048576},
          {"ttl_min_ms", 1000}}}};
    BootFile = Folder + '/' + Name + ".json";
    LogFile = Folder + '/' + Name + ".log";
    std::ofstream(BootFile) << Boot.dump();
  }

  /// Runs the command of the deploy file from the root of the repository.
  void start() {
    Pid = ::fork();
    if (Pid == 0) {
      // Does not outlive the test.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      int Log = ::open(LogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(Log, 1);
      ::dup2(Log, 2);
      ::setenv("TEASELWALK_BOOT", BootFile.c_str(), 1);
      ::execl("target/teaselwalk", "target/teaselwalk", "node", nullptr);
      ::_exit(127);
    }
    record().line("entry ", Name, ": started");
  }

  void kill(int Signal) {
    if (Pid <= 0)
      return;
    ::kill(Pid, Signal);
    if (Signal != SIGKILL && Signal != SIGTERM)
      return;
    ::waitpid(Pid, nullptr, 0);
    Pid = 0;
  }

  /// True while the process has not ended by itself.
  bool isUp() {
    int Status = 0;
    if (Pid > 0 && ::waitpid(Pid, &Status, WNOHANG) == Pid) {
      record().line("entry ", Name, ": ended by itself, status ", Status);
      Pid = 0;
    }
    return Pid > 0;
  }

  int64_t residentMb() const {
    std::ifstream In("/proc/" + std::to_string(Pid) + "/status");
    std::string Word;
    while (In >> Word)
      if (Word == "VmRSS:") {
        int64_t Kb = 0;
        In >> Kb;
        return Kb / 1024;
      }
    return 0;
  }

  bool isReady() const {
    return call(readiness(), "GET", "/readiness", {}, "", 500).Status == 200;
  }

  const std::string &log() const { return LogFile; }

private:
  std::string Name;
  std::string Ip;
  int CallersPort = 0;
  int ReadinessPort = 0;
  std::string BootFile;
  std::string LogFile;
  pid_t Pid = 0;
};

// ------------------------------------------------------------------- cluster

/// A small deployment: a store, workers and entry processes in three zones.
class Cluster {
public:
  static constexpr const char *Host = "nony24.example";
  static constexpr const char *Key = "key-of-temple-trust";

  Store Storage;
  Account Seen;
  std::vector<std::unique_ptr<Worker>> Workers;
  std::vector<std::unique_ptr<Node>> Nodes;
  std::string Folder;

  Cluster() {
    char Name[] = "/tmp/teaselwalk-review-XXXXXX";
    Folder = ::mkdtemp(Name);
  }
  ~Cluster() {
    Nodes.clear();
    Workers.clear();
    if (std::getenv("KEEP_LOGS") == nullptr) {
      for (const std::string &Each : Files)
        ::unlink(Each.c_str());
      ::rmdir(Folder.c_str());
    } else {
      std::printf("logs are in %s\n", Folder.c_str());
    }
  }

  /// False if the deployment does not come up.
  /// \p Kinds: of the first workers; the others are of kind a or b.
  bool start(int Entries, int WorkerCount,
             const std::vector<std::string> &Kinds = {}) {
    Address StoreAt{"127.0.0.1", freePort("127.0.0.1")};
    if (!Storage.start(StoreAt))
      return false;
    writeConfiguration(1);
    for (int I = 0; I < WorkerCount; ++I) {
      WorkerOptions Options;
      Options.Id = "w" + std::to_string(I + 1);
      Options.Service = "allotment";
      Options.Zone = Zones[static_cast<size_t>(I % 3)];
      bool IsNamed = static_cast<size_t>(I) < Kinds.size();
      Options.Kind = IsNamed      ? Kinds[static_cast<size_t>(I)]
                     : I % 3 == 2 ? "b"
                                  : "a";
      Options.Rack = "r" + std::to_string(I % 3);
      Workers.push_back(
          std::make_unique<Worker>(Storage, Seen, std::move(Options)));
      if (!Workers.back()->start({"127.0.0.1", freePort("127.0.0.1")}))
        return false;
    }
    for (int I = 0; I < Entries; ++I) {
      Nodes.push_back(
          std::make_unique<Node>("frontend-" + std::to_string(I + 1),
                                 "127.0.1." + std::to_string(I + 1)));
      Nodes.back()->prepare(Folder, Zones[static_cast<size_t>(I % 3)], StoreAt);
      Files.push_back(Folder + '/' + Nodes.back()->name() + ".json");
      Files.push_back(Nodes.back()->log());
      Nodes.back()->start();
    }
    bool IsReady = waitFor(15000, [this] {
      return std::all_of(Nodes.begin(), Nodes.end(),
                         [](const auto &Each) { return Each->isReady(); });
    });
    // The owner is elected and knows all workers.
    sleepMs(2500);
    record().line(IsReady ? "all entry processes are ready"
                          : "an entry process is not ready");
    return IsReady;
  }

  /// The route of the site's batch queue without advice, and one tenant.
  void writeConfiguration(int64_t Version) {
    Json Routes = Json::array();
    Routes.push_back({{"name", "sector-replan"},
                      {"host", Host},
                      {"path_prefix", "/lohu930/"},
                      {"service", "allotment"},
                      {"priority", 2},
                      {"max_attempts", 2},
                      {"slack_factor", 2.2},
                      {"target_duration_ms", 1200}});
    Json Tenants = Json::array();
    Tenants.push_back(
        {{"name", "temple-trust"}, {"api_keys", {Key}}, {"weight", 100}});
    Json Services = Json::array();
    Services.push_back({{"name", "allotment"}, {"enforces_capacity", false}});
    Storage.put("op/config", Json{{"version", Version},
                                  {"routes", Routes},
                                  {"services", Services},
                                  {"tenants", Tenants},
                                  {"limits", {{"max_body_bytes", 262144}}}}
                                 .dump());
  }

  /// A call of a client at entry process \p Through.
  Response request(const std::string &Method, const std::string &Id,
                   const std::string &Body = "", size_t Through = 0,
                   int64_t DeadlineMs = 3000) {
    Response Answer = call(Nodes[Through]->callers(), Method, "/lohu930/" + Id,
                           {{"Host", Host},
                            {"Credential", Key},
                            {"Deadline-Ms", std::to_string(DeadlineMs)}},
                           Body, DeadlineMs);
    return Answer;
  }

  /// The same, written to the record.
  Response noted(const std::string &Method, const std::string &Id,
                 const std::string &Body = "", size_t Through = 0) {
    Response Answer = request(Method, Id, Body, Through);
    record().line(
        "client: ", Method, ' ', Id, " at ", Nodes[Through]->name(), " -> ",
        Answer.Status == 0 ? "no answer" : std::to_string(Answer.Status), ' ',
        Answer.Body);
    return Answer;
  }

  /// The state as a client is told it; empty: no such answer.
  std::string state(const std::string &Id, size_t Through = 0) {
    Response Answer = request("GET", Id, "", Through);
    Json Body = Json::parse(Answer.Body, nullptr, false);
    return Answer.Status == 200 && Body.is_object() ? Body.value("state", "")
                                                    : "";
  }

  Worker *workerOf(const std::string &Id) {
    for (auto &Each : Workers)
      if (Each->id() == Id)
        return Each.get();
    return nullptr;
  }

private:
  const std::vector<std::string> Zones = {"brno-a", "brno-b", "znojmo"};
  std::vector<std::string> Files;
};

/// False with TROUBLE=0: the same without the disruption.
inline bool hasTrouble() {
  const char *Text = std::getenv("TROUBLE");
  return Text == nullptr || std::string(Text) != "0";
}

enum Verdict { Held = 0, Broken = 1, NotRun = 2 };

inline int finish(Verdict Result, const std::string &Why) {
  const char *Names[] = {"the rule held", "the rule was broken",
                         "the case could not run"};
  record().line(Names[Result], ": ", Why);
  return Result;
}

} // namespace standin
