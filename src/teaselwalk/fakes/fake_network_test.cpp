#include "teaselwalk/fakes/endpoint_model.hpp"
#include "teaselwalk/fakes/fake_network.hpp"
#include "teaselwalk/fakes/store_model.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <vector>

namespace teaselwalk::fakes {
namespace {

constexpr uint64_t Seed = 20260811;

NetworkOptions badNetwork() {
  NetworkOptions Options;
  Options.MaxDelay = Duration(50);
  Options.LostPerMille = 100;
  Options.RepeatedPerMille = 100;
  Options.LatePerMille = 50;
  return Options;
}

std::vector<std::pair<TimePoint, int>> deliveriesWith(uint64_t Seed) {
  FakeNetwork<int> Net(Seed, badNetwork());
  for (int I = 0; I < 1000; ++I)
    Net.send("a", "b", I, timeAt(I));
  std::vector<std::pair<TimePoint, int>> Seen;
  while (auto Due = Net.next(timeAt(100000)))
    Seen.emplace_back(Due->At, Due->Content);
  EXPECT_EQ(Net.counts().Delivered + Net.counts().Lost,
            Net.counts().Sent + Net.counts().Repeated);
  return Seen;
}

// Guards against failures of fuzz tests that cannot be repeated, and against a
// network that is kinder than asked for.
TEST(FakeNetworkTest, FollowsItsSeed) {
  auto Seen = deliveriesWith(Seed);
  EXPECT_EQ(Seen, deliveriesWith(Seed));
  EXPECT_NE(Seen, deliveriesWith(Seed + 1));
  EXPECT_TRUE(std::is_sorted(
      Seen.begin(), Seen.end(),
      [](const auto &A, const auto &B) { return A.first < B.first; }));
  EXPECT_FALSE(std::is_sorted(
      Seen.begin(), Seen.end(),
      [](const auto &A, const auto &B) { return A.second < B.second; }));
}

// Guards against a cut that lets messages through that are on their way.
TEST(FakeNetworkTest, CutStopsWhatIsOnItsWay) {
  FakeNetwork<int> Net(Seed, {});
  Net.send("a", "b", 1, timeAt(0));
  Net.send("b", "a", 2, timeAt(0));
  Net.cutOneWay("a", "b");
  auto Due = Net.next(timeAt(10));
  ASSERT_TRUE(Due);
  EXPECT_EQ(Due->Content, 2);
  EXPECT_FALSE(Net.next(timeAt(10)));
  Net.cut("a", "b");
  Net.heal("a", "b");
  Net.send("a", "b", 3, timeAt(10));
  EXPECT_FALSE(Net.next(timeAt(10)));
  EXPECT_TRUE(Net.next(timeAt(20)));
}

using RunMessage = std::variant<protocol::RunCommand, std::string>;

// Guards against a model that runs an attempt twice, or loses or doubles a
// counter, when messages are lost, repeated and reordered.
TEST(FakeNetworkTest, ModelsStandABadNetwork) {
  FakeNetwork<RunMessage> Net(Seed, badNetwork());
  EndpointModel Endpoint{EndpointOptions()};
  constexpr int Tasks = 40;
  std::set<std::string> Answered;
  std::map<std::string, int> Starts;
  protocol::RunCommand Command;
  Command.Owner = {1, ProcessId("p")};
  Endpoint.attach({Command.Owner}, timeAt(0));
  Command.Size = {100, 100, 0, 1, 1};
  Command.Lease = Duration(60000);
  Command.RunTime = Duration(10);
  for (int64_t Ms = 0; Ms < 60000; Ms += 100) {
    for (int I = 0; I < Tasks; ++I) {
      Command.Id.Task = TaskId("j/" + std::to_string(I));
      if (Answered.count(Command.Id.Task.str()) == 0)
        Net.send("owner", "endpoint", Command, timeAt(Ms));
    }
    while (auto Due = Net.next(timeAt(Ms + 99))) {
      if (const auto *Name = std::get_if<std::string>(&Due->Content)) {
        Answered.insert(*Name);
        continue;
      }
      const auto &Run = std::get<protocol::RunCommand>(Due->Content);
      RunAnswer Done = Endpoint.run(Run, Due->At);
      if (std::holds_alternative<RunStarted>(Done))
        ++Starts[Run.Id.Task.str()];
      if (std::holds_alternative<protocol::RunResult>(Done))
        Net.send("endpoint", "owner", Run.Id.Task.str(), Due->At);
    }
  }
  EXPECT_EQ(Answered.size(), size_t{Tasks});
  for (const auto &[Task, Count] : Starts)
    EXPECT_EQ(Count, 1) << Task;
  EXPECT_TRUE(fits(Endpoint.peak().Largest, Endpoint.options().Capacity));
  EXPECT_GT(Endpoint.peak().Duplicates, 0U);
}

// Guards against an increment lost between two writers that read, compare and
// swap over a bad network.
TEST(FakeNetworkTest, CompareAndSwapLosesNoIncrement) {
  using Call = std::pair<protocol::StoreRequest, protocol::StoreReply>;
  FakeNetwork<Call> Net(Seed, badNetwork());
  StoreModel Store;
  uint64_t Taken = 0;
  protocol::StoreRequest Read;
  Read.Key = "counter";
  for (int64_t Ms = 0; Ms < 30000; Ms += 200) {
    for (const char *Writer : {"w1", "w2"})
      Net.send(Writer, "store", {Read, {}}, timeAt(Ms));
    while (auto Due = Net.next(timeAt(Ms + 199))) {
      auto &[Request, Reply] = Due->Content;
      if (Due->To == "store") {
        Reply = Store.apply(Request, Due->At);
        bool IsTaken = Request.Operation == protocol::StoreOperation::Write &&
                       Reply.Status == protocol::StoreStatus::Ok;
        Taken += IsTaken ? 1 : 0;
        Net.send("store", Due->From, {Request, Reply}, Due->At);
      } else if (Request.Operation == protocol::StoreOperation::Read) {
        protocol::StoreRequest Write = Read;
        Write.Operation = protocol::StoreOperation::Write;
        Write.Expected = Reply.Version;
        Write.Value = std::to_string(
            Reply.Value.empty() ? 1 : std::stoull(Reply.Value) + 1);
        Net.send(Due->To, "store", {Write, {}}, Due->At);
      }
    }
  }
  EXPECT_GT(Taken, 100U);
  EXPECT_EQ(Store.apply(Read, timeAt(30000)).Value, std::to_string(Taken));
}

} // namespace
} // namespace teaselwalk::fakes
