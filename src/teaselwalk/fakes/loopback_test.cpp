#include "teaselwalk/endpoints/endpoint_client.hpp"
#include "teaselwalk/fakes/fake_endpoint.hpp"
#include "teaselwalk/fakes/fake_store.hpp"
#include "teaselwalk/fakes/fake_vm_list.hpp"
#include "teaselwalk/platform/store_client.hpp"
#include "teaselwalk/platform/vm_list_client.hpp"
#include "teaselwalk/protocol/vm_json.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <future>
#include <thread>

namespace teaselwalk::fakes {
namespace {

using endpoints::Answer;
using protocol::EndpointState;
using protocol::RunCommand;
using protocol::StoreOperation;
using protocol::StoreReply;
using protocol::StoreRequest;
using protocol::StoreStatus;

constexpr const char *Ip = "127.0.0.1";
const Duration LongWait(10000);

/// Clients and fakes over loopback.
class LoopbackTest : public ::testing::Test {
protected:
  void SetUp() override {
    Threads.emplace_back([this] { Host.run(); });
    Threads.emplace_back([this] { Sender.run(); });
  }

  void TearDown() override {
    Sender.stop();
    Host.stop();
    for (std::thread &Row : Threads)
      Row.join();
  }

  StoreReply store(const StoreRequest &Call, uint16_t Port,
                   Duration Timeout = LongWait) {
    std::promise<StoreReply> Slot;
    platform::StoreClient(Sender, {Ip, Port})
        .send(Call, Timeout,
              [&](StoreReply Got) { Slot.set_value(std::move(Got)); });
    return Slot.get_future().get();
  }

  template <typename Command>
  Answer command(const Command &Value, uint16_t Port) {
    std::promise<Answer> Slot;
    endpoints::EndpointClient(Sender).send(
        {Ip, Port}, Value, LongWait,
        [&](Answer Got) { Slot.set_value(std::move(Got)); });
    return Slot.get_future().get();
  }

  static std::string put(uint16_t Port, const std::string &Target,
                         const std::string &Body) {
    return http::sendAndWait({Ip, Port}, {"PUT", Target, Body}, LongWait)
        .Message.Body;
  }

  static std::string fetch(uint16_t Port, const std::string &Target) {
    return http::sendAndWait({Ip, Port}, {"GET", Target}, LongWait)
        .Message.Body;
  }

  HttpHost Host;
  http::Client Sender{http::ClientOptions()};
  FakeStore Store{Host, Ip, 0};
  FakeVmList Vms{Host, Ip, 0};
  FakeEndpoint Endpoint{Host, EndpointOptions(), Ip, 0};
  std::vector<std::thread> Threads;
};

StoreRequest writeOf(const std::string &Key, const std::string &Value,
                     protocol::StoreVersion Expected) {
  StoreRequest Call;
  Call.Operation = StoreOperation::Write;
  Call.Key = Key;
  Call.Value = Value;
  Call.Expected = Expected;
  return Call;
}

StoreRequest callOf(StoreOperation Operation, const std::string &Key) {
  StoreRequest Call;
  Call.Operation = Operation;
  Call.Key = Key;
  return Call;
}

RunCommand runOf(const std::string &Task, bool Wait) {
  RunCommand Command;
  Command.Owner = {1, ProcessId("p")};
  Command.Id.Task = TaskId(Task);
  Command.Team = TeamId("t");
  Command.Size = {1000, 1024, 0, 1, 1};
  Command.Lease = Duration(30000);
  Command.Wait = Wait;
  Command.Payload = R"({"run_ms":1,"result":"r"})";
  return Command;
}

template <typename Kind> bool is(const Answer &Value) {
  return std::holds_alternative<Kind>(Value);
}

Verdict failureOf(const Answer &Value) {
  return std::get<endpoints::Failed>(Value).Outcome;
}

// Guards against client and store disagreeing on the form of any call.
TEST_F(LoopbackTest, EveryStoreCallRoundTrips) {
  const std::string Key = "jobs/brno a/0/j?x=1&y%2F";
  const std::string Value = "{\"text\":\"T\u00e1bo\u0159i\u0161t\u011b\"}\n";
  StoreReply Lease = store(
      [] {
        StoreRequest Call = callOf(StoreOperation::GrantLease, "");
        Call.Ttl = Duration(60000);
        return Call;
      }(),
      Store.port());
  ASSERT_EQ(Lease.Status, StoreStatus::Ok);
  StoreRequest Write = writeOf(Key, Value, 0);
  Write.Lease = Lease.Value;
  StoreReply Written = store(Write, Store.port());
  ASSERT_EQ(Written.Status, StoreStatus::Ok);
  EXPECT_EQ(store(Write, Store.port()).Status, StoreStatus::Conflict);
  StoreRequest Read = callOf(StoreOperation::Read, Key);
  StoreReply Got = store(Read, Store.port());
  EXPECT_EQ(Got.Value, Value);
  EXPECT_EQ(Got.Version, Written.Version);
  Read.Unless = Written.Version;
  EXPECT_EQ(store(Read, Store.port()).Status, StoreStatus::Unchanged);
  auto Rows = store(callOf(StoreOperation::List, "jobs/"), Store.port());
  ASSERT_EQ(Rows.Entries.size(), 1U);
  EXPECT_EQ(Rows.Entries[0].Key, Key);
  StoreRequest Renew = callOf(StoreOperation::RenewLease, "");
  Renew.Lease = Lease.Value;
  EXPECT_EQ(store(Renew, Store.port()).Status, StoreStatus::Ok);
  StoreRequest Remove = callOf(StoreOperation::Remove, Key);
  Remove.Expected = Written.Version;
  EXPECT_EQ(store(Remove, Store.port()).Status, StoreStatus::Ok);
  Read.Unless = 0;
  EXPECT_EQ(store(Read, Store.port()).Status, StoreStatus::NotFound);
}

// Guards against a value at the store's limit being cut by a body limit.
TEST_F(LoopbackTest, LargestValueRoundTrips) {
  std::string Value(StoreModel::MaxValueBytes, '\n');
  ASSERT_EQ(store(writeOf("k", Value, 0), Store.port()).Status,
            StoreStatus::Ok);
  EXPECT_EQ(store(callOf(StoreOperation::Read, "k"), Store.port()).Value,
            Value);
  Value += 'x';
  EXPECT_EQ(store(writeOf("l", Value, 0), Store.port()).Status,
            StoreStatus::Refused);
}

// Guards against a lost answer being taken for a lost call, or the reverse.
TEST_F(LoopbackTest, StoreFaultsAreTold) {
  put(Store.port(), "/faults", R"({"lose_answers":true})");
  EXPECT_EQ(store(writeOf("k", "v", 0), Store.port()).Status,
            StoreStatus::Lost);
  put(Store.port(), "/faults", R"({"down":true})");
  EXPECT_EQ(store(writeOf("l", "v", 0), Store.port()).Status,
            StoreStatus::Refused);
  put(Store.port(), "/faults", R"({"closed":true})");
  EXPECT_EQ(store(writeOf("l", "v", 0), Store.port()).Status,
            StoreStatus::Lost);
  put(Store.port(), "/faults", R"({"fail_all":true})");
  EXPECT_EQ(store(writeOf("l", "v", 0), Store.port()).Status,
            StoreStatus::Lost);
  put(Store.port(), "/faults", R"({"freeze":true})");
  EXPECT_EQ(store(writeOf("late", "v", 0), Store.port(), Duration(50)).Status,
            StoreStatus::Lost);
  put(Store.port(), "/faults", "{}");
  EXPECT_EQ(store(callOf(StoreOperation::Read, "k"), Store.port()).Value, "v");
  EXPECT_EQ(store(callOf(StoreOperation::Read, "l"), Store.port()).Status,
            StoreStatus::NotFound);
  EXPECT_EQ(store(callOf(StoreOperation::Read, "late"), Store.port()).Status,
            StoreStatus::Ok);
}

// Guards against a refused connection or unsendable text called doubtful.
TEST_F(LoopbackTest, CallsThatWereNotSentAreTold) {
  uint16_t FreePort = 0;
  {
    HttpHost Closed;
    FreePort =
        Closed.listen(Ip, 0, [](const http::Request &, const Reply &) {});
  }
  EXPECT_EQ(store(writeOf("k", "v", 0), FreePort).Status, StoreStatus::NotSent);
  EXPECT_EQ(store(writeOf("k", "\xff", 0), Store.port()).Status,
            StoreStatus::NotSent);
  EXPECT_EQ(failureOf(command(runOf("j/0", true), FreePort)), Verdict::NotRun);
}

// Guards against a watch that misses a change or never ends.
TEST_F(LoopbackTest, WatchEndsWithAChange) {
  auto Waiting = std::async(std::launch::async, [&] {
    return fetch(Store.port(), "/watch?prefix=a/&after=0&wait_ms=10000");
  });
  store(writeOf("b/1", "v", 0), Store.port());
  auto Version = store(writeOf("a/1", "v", 0), Store.port()).Version;
  auto Json = nlohmann::json::parse(Waiting.get());
  ASSERT_EQ(Json["keys"].size(), 1U);
  EXPECT_EQ(Json["keys"][0]["key"], "a/1");
  EXPECT_EQ(Json["version"], Version);
  Json = nlohmann::json::parse(
      fetch(Store.port(), "/watch?prefix=a/&after=" + std::to_string(Version) +
                              "&wait_ms=1"));
  EXPECT_TRUE(Json["keys"].empty());
}

// Guards against rows lost between list and client.
TEST_F(LoopbackTest, VmListRoundTrips) {
  protocol::VmInfo Row{"e1", {Ip, 9}, DataCentreId("znojmo"), RackId("r1")};
  put(Vms.port(), "/vms", nlohmann::json::array({Row}).dump());
  put(Vms.port(), "/vms", "[{}]");
  std::promise<std::optional<std::vector<protocol::VmInfo>>> Slot;
  platform::VmListClient(Sender, {Ip, Vms.port()}).fetch([&](auto Got) {
    Slot.set_value(std::move(Got));
  });
  auto Rows = Slot.get_future().get();
  ASSERT_TRUE(Rows);
  ASSERT_EQ(Rows->size(), 1U);
  EXPECT_EQ(nlohmann::json(Rows->front()), nlohmann::json(Row));
}

// Guards against client and endpoint disagreeing on an answer.
TEST_F(LoopbackTest, EveryEndpointAnswerIsTold) {
  uint16_t Port = Endpoint.port();
  Epoch First = runOf("call/1", true).Owner;
  ASSERT_TRUE(is<EndpointState>(command(protocol::AttachCommand{First}, Port)));
  auto Quick = command(runOf("call/1", true), Port);
  ASSERT_TRUE(is<protocol::RunResult>(Quick));
  EXPECT_EQ(std::get<protocol::RunResult>(Quick).Result, "r");
  EXPECT_TRUE(is<protocol::RunResult>(command(runOf("call/1", true), Port)));
  RunCommand Service = runOf("s/0", false);
  Service.Payload = "serve";
  EXPECT_TRUE(is<endpoints::Started>(command(Service, Port)));
  EXPECT_TRUE(is<endpoints::Started>(command(Service, Port)));
  RunCommand Huge = runOf("h/0", false);
  Huge.Size.Accelerators = 1;
  EXPECT_TRUE(is<endpoints::NoRoom>(command(Huge, Port)));
  Epoch Owner = Service.Owner;
  EXPECT_TRUE(is<protocol::StopResult>(
      command(protocol::StopCommand{Owner, Service.Id}, Port)));
  auto State = command(protocol::RenewCommand{Owner, Duration(30000)}, Port);
  ASSERT_TRUE(is<EndpointState>(State));
  EXPECT_TRUE(std::get<EndpointState>(State).Tasks.empty());
  EXPECT_EQ(std::get<EndpointState>(State).Finished.size(), 1U);
  Epoch Higher{2, ProcessId("q")};
  EXPECT_TRUE(
      is<EndpointState>(command(protocol::AttachCommand{Higher}, Port)));
  auto Stale = command(runOf("call/2", true), Port);
  ASSERT_TRUE(is<protocol::StaleEpoch>(Stale));
  EXPECT_EQ(std::get<protocol::StaleEpoch>(Stale).Owner, Higher);
  auto Ran = nlohmann::json::parse(fetch(Port, "/ran"))["attempts"];
  ASSERT_EQ(Ran.size(), 2U);
  EXPECT_EQ(Ran[0]["task"], "call/1");
  EXPECT_EQ(Ran[1]["ended"], "stopped");
  EXPECT_EQ(nlohmann::json::parse(fetch(Port, "/peak"))["refused"], 1);
}

// Guards against a run being called "not run" when only its answer was lost.
TEST_F(LoopbackTest, LostRunAnswerMayHaveRun) {
  uint16_t Port = Endpoint.port();
  Epoch Owner = runOf("call/1", true).Owner;
  ASSERT_TRUE(is<EndpointState>(command(protocol::AttachCommand{Owner}, Port)));
  put(Port, "/faults", R"({"lose_answers":true})");
  EXPECT_EQ(failureOf(command(runOf("call/1", true), Port)),
            Verdict::MayHaveRun);
  put(Port, "/faults", R"({"down":true})");
  EXPECT_EQ(failureOf(command(runOf("call/2", true), Port)), Verdict::NotRun);
  put(Port, "/faults", R"({"fail_all":true})");
  auto Failing = command(runOf("call/3", true), Port);
  ASSERT_TRUE(is<protocol::RunResult>(Failing));
  EXPECT_FALSE(std::get<protocol::RunResult>(Failing).Ok);
  put(Port, "/faults", "{}");
  EXPECT_EQ(nlohmann::json::parse(fetch(Port, "/ran"))["attempts"].size(), 2U);
}

/// A server that sends one fixed text to its only client and closes.
std::string answerOnce(boost::asio::ip::tcp::acceptor &Acceptor,
                       const std::string &Text) {
  auto Socket = Acceptor.accept();
  boost::asio::streambuf Request;
  boost::system::error_code Ignored;
  boost::asio::read_until(Socket, Request, "\r\n\r\n", Ignored);
  boost::asio::write(Socket, boost::asio::buffer(Text), Ignored);
  return Text;
}

// Guards against a truncated or garbled answer being taken for success.
TEST_F(LoopbackTest, TruncatedAnswersLeaveDoubt) {
  boost::asio::io_context Context;
  boost::asio::ip::tcp::acceptor Acceptor(
      Context, {boost::asio::ip::make_address(Ip), 0});
  uint16_t Port = Acceptor.local_endpoint().port();
  for (const char *Text :
       {"", "HTTP/1.1 200",
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: "
        "13\r\n\r\n{\"ver",
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: "
        "4\r\n\r\n\xff\xfe{}",
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: "
        "-1\r\n\r\n{\"version\":3}",
        "nonsense\r\n\r\n"}) {
    auto Server =
        std::async(std::launch::async, [&] { answerOnce(Acceptor, Text); });
    EXPECT_EQ(store(writeOf("k", "v", 0), Port).Status, StoreStatus::Lost)
        << Text;
    Server.get();
    Server =
        std::async(std::launch::async, [&] { answerOnce(Acceptor, Text); });
    EXPECT_EQ(failureOf(command(runOf("call/1", true), Port)),
              Verdict::MayHaveRun)
        << Text;
    Server.get();
  }
}

} // namespace
} // namespace teaselwalk::fakes
