#include "testing/owner_fixture.hpp"

#include "teaselwalk/base/error.hpp"
#include "teaselwalk/cell/fenced_writer.hpp"
#include "teaselwalk/cell/job_progress.hpp"
#include "teaselwalk/cell/keys.hpp"
#include "teaselwalk/cell/owner_election.hpp"
#include "teaselwalk/cell/process_registration.hpp"

#include <string>
#include <vector>

namespace teaselwalk::cell::testing {
namespace {

/// Deep enough to exhaust the stack of a thread if each level takes a call.
std::string nested() {
  constexpr size_t Nesting = 500000;
  return std::string(Nesting, '[') + std::string(Nesting, ']');
}

/// \p Text with the value of \p Field replaced by \p Value.
std::string with(const std::string &Text, const std::string &Field,
                 const std::string &Value) {
  std::string Name = '"' + Field + "\":";
  size_t Begin = Text.find(Name) + Name.size();
  return Text.substr(0, Begin) + Value +
         Text.substr(Text.find_first_of(",}", Begin));
}

std::vector<std::string> oddNumbers() {
  return {
      "-1",    "9223372036854775807", "18446744073709551615", "1e30", R"("7")",
      nested()};
}

/// The values that another writer may leave under a key.
std::vector<std::string> oddValues() {
  return {"", "7", "not a record", "{}", nested()};
}

class OddRecordsTest : public OwnerTest {};

// Guards against a port or a number that becomes another one when it is read.
TEST(OddRecordTextsTest, NumbersOutOfRangeAreRefused) {
  std::string Process = ProcessRecord{{"10.0.0.1", 80}, 0.5}.encode();
  EXPECT_EQ(ProcessRecord::decode(Process).Address.Port, 80);
  std::string Epoch = EpochRecord{"p", 4, 2}.encode();
  EXPECT_EQ(EpochRecord::decode(Epoch).Epoch, 4);
  std::string Owner = OwnerRecord{"p", {{"10.0.0.1", 80}, 0.5}, 4}.encode();
  EXPECT_EQ(OwnerRecord::decode(Owner).Epoch, 4);
  for (const std::string &Number : oddNumbers()) {
    EXPECT_THROW(ProcessRecord::decode(with(Process, "port", Number)), Error);
    EXPECT_THROW(EpochRecord::decode(with(Epoch, "epoch", Number)), Error);
    EXPECT_THROW(EpochRecord::decode(with(Epoch, "sequence", Number)), Error);
    EXPECT_THROW(OwnerRecord::decode(with(Owner, "epoch", Number)), Error);
  }
  EXPECT_THROW(ProcessRecord::decode(with(Process, "port", "70000")), Error);
  for (const char *Cores : {"0", "-1", "1e30", "\"1\""})
    EXPECT_THROW(ProcessRecord::decode(with(Process, "strength", Cores)),
                 Error);
}

// Guards against a record of a job that is read with other numbers or with a
// status that does not exist.
TEST(OddRecordTextsTest, RecordsOfJobsAreRefused) {
  FakeWorld World;
  JobSpec Job = World.job(1, {FakeWorld::step(2)});
  std::string Spec = encodeJob(Job);
  EXPECT_EQ(decodeJob(Job.Id, Spec).Steps.size(), 1U);
  for (const char *Field : {"cpu", "memory", "tasks", "accepted", "target"})
    for (const std::string &Number : oddNumbers())
      EXPECT_THROW(decodeJob(Job.Id, with(Spec, Field, Number)), Error)
          << Field;
  JobProgress Progress(Job);
  std::string Record = Progress.encode();
  Progress.restore(Record);
  for (const char *Field : {"status", "version"})
    for (const std::string &Number : oddNumbers())
      EXPECT_THROW(Progress.restore(with(Record, Field, Number)), Error)
          << Field;
  EXPECT_THROW(Progress.restore(with(Record, "status", "5")), Error);
}

// Guards against an owner that stops to follow the endpoints, or forgets one,
// because another entry of the list is odd, and against a line for each time
// that it is read.
TEST_F(OddRecordsTest, AnOddEndpointEntryHidesNoOther) {
  begin(1, 2);
  for (const std::string &Value : oddValues())
    World.Store.put(
        std::string(EntryPrefix) + "odd" + std::to_string(Value.size()), Value);
  World.Clock.runFor(Duration(1500));
  World.addEndpoints(1);
  World.Clock.runFor(Duration(5000));
  FakeRecorder &Log = World.Processes[0]->Log;
  EXPECT_EQ(Log.Events[EventName::EndpointJoined], 3);
  EXPECT_EQ(Log.Events[EventName::EndpointGone], 0);
  EXPECT_EQ(Log.Events[EventName::RecordMalformed],
            static_cast<int>(oddValues().size()));
}

// Guards against jobs that are not read because the record of another one, or
// of its progress, is odd.
TEST_F(OddRecordsTest, OddRecordsOfJobsHideNoOther) {
  begin(2, 2);
  int Number = 0;
  for (const std::string &Value : oddValues()) {
    World.Store.put(jobKey(World.job(100 + Number, {}).Id), Value);
    World.Store.put(stateKey(World.job(200 + Number, {}).Id), Value);
    World.Store.put(BundlePrefix + std::to_string(Number++), Value);
  }
  JobSpec Odd = World.job(1, {World.step(1)});
  Odd.Queue = "batch";
  World.Store.put(jobKey(Odd.Id), encodeJob(Odd));
  World.Store.put(stateKey(Odd.Id), nested());
  World.kill(World.ownerIndex());
  World.Clock.runFor(Duration(3000));
  JobSpec Job = World.job(2, {World.step(2)});
  for (size_t I = 0; I < World.Processes.size(); ++I)
    if (World.Processes[I])
      submit(Job, I);
  World.Clock.runFor(Duration(2000));
  expectState(Job, JobPhase::Completed);
}

// Guards against an ownership that nobody can claim any more because another
// writer has left an odd record under one of its keys.
TEST_F(OddRecordsTest, AnOddOwnerOrEpochRecordIsReplaced) {
  begin(3, 2);
  for (const char *Key : {OwnerKey, EpochKey, ProcessPrefix})
    for (const std::string &Value : oddValues()) {
      std::string Where = Key == ProcessPrefix
                              ? std::string(ProcessPrefix) + "odd"
                              : std::string(Key);
      World.Store.put(Where, Value);
      World.Clock.runFor(Duration(8000));
      size_t Index = World.ownerIndex();
      ASSERT_LT(Index, World.Processes.size())
          << Where << " = " << Value.substr(0, 20);
      JobSpec Job = World.job(static_cast<int>(World.Cluster.Jobs.size()) + 1,
                              {World.step(2)});
      submit(Job, Index);
      World.Clock.runFor(Duration(2500));
      EXPECT_EQ(World.status(Index, Job).State, JobPhase::Completed)
          << Where << " = " << Value.substr(0, 20);
    }
  EXPECT_EQ(World.violations(), "");
}

} // namespace
} // namespace teaselwalk::cell::testing
