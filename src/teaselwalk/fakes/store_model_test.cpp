#include "teaselwalk/fakes/store_model.hpp"

#include <gtest/gtest.h>

namespace teaselwalk::fakes {
namespace {

using protocol::StoreOperation;
using protocol::StoreReply;
using protocol::StoreRequest;
using protocol::StoreStatus;

class StoreModelTest : public ::testing::Test {
protected:
  StoreReply apply(StoreOperation Operation, const std::string &Key,
                   protocol::StoreVersion Expected = 0,
                   const std::string &Lease = "") {
    StoreRequest Call;
    Call.Operation = Operation;
    Call.Key = Key;
    Call.Value = "value of " + Key;
    Call.Expected = Expected;
    Call.Lease = Lease;
    Call.Ttl = Duration(1000);
    return Model.apply(Call, Now);
  }

  StoreModel Model;
  TimePoint Now = timeAt(0);
};

// Guards against a second writer overwriting a change it has not seen.
TEST_F(StoreModelTest, WriteNeedsTheCurrentVersion) {
  StoreReply First = apply(StoreOperation::Write, "k", 0);
  ASSERT_EQ(First.Status, StoreStatus::Ok);
  StoreReply Second = apply(StoreOperation::Write, "k", 0);
  EXPECT_EQ(Second.Status, StoreStatus::Conflict);
  EXPECT_EQ(Second.Version, First.Version);
  EXPECT_EQ(apply(StoreOperation::Write, "k", First.Version).Status,
            StoreStatus::Ok);
}

// Guards against a version returning after a key is removed and written again.
TEST_F(StoreModelTest, VersionsAreNeverReused) {
  auto First = apply(StoreOperation::Write, "k", 0).Version;
  ASSERT_EQ(apply(StoreOperation::Remove, "k", First).Status, StoreStatus::Ok);
  EXPECT_EQ(apply(StoreOperation::Remove, "k", First).Status,
            StoreStatus::NotFound);
  auto Second = apply(StoreOperation::Write, "k", 0).Version;
  EXPECT_GT(Second, First);
  EXPECT_EQ(apply(StoreOperation::Write, "k", First).Status,
            StoreStatus::Conflict);
}

// Guards against members that stay listed after their process has gone.
TEST_F(StoreModelTest, KeysGoWithTheirLease) {
  std::string Lease = apply(StoreOperation::GrantLease, "").Value;
  apply(StoreOperation::Write, "members/a/1", 0, Lease);
  apply(StoreOperation::Write, "members/a/2", 0);
  auto Seen = Model.version();
  Now = timeAt(900);
  EXPECT_EQ(apply(StoreOperation::RenewLease, "", 0, Lease).Status,
            StoreStatus::Ok);
  Now = timeAt(1899);
  EXPECT_EQ(apply(StoreOperation::List, "members/a/").Entries.size(), 2U);
  EXPECT_EQ(Model.nextExpiry(), timeAt(1900));
  Now = timeAt(1900);
  EXPECT_EQ(apply(StoreOperation::List, "members/a/").Entries.size(), 1U);
  EXPECT_EQ(apply(StoreOperation::RenewLease, "", 0, Lease).Status,
            StoreStatus::NotFound);
  EXPECT_EQ(apply(StoreOperation::Write, "members/a/1", 0, Lease).Status,
            StoreStatus::NotFound);
  auto Changes = Model.changesAfter("members/", Seen, Now);
  ASSERT_EQ(Changes.size(), 1U);
  EXPECT_EQ(Changes[0].Key, "members/a/1");
  EXPECT_EQ(Changes[0].Version, 0U);
}

// Guards against a value above the store's limit being accepted in tests.
TEST_F(StoreModelTest, LimitsValues) {
  StoreRequest Call;
  Call.Operation = StoreOperation::Write;
  Call.Key = "k";
  Call.Value.assign(StoreModel::MaxValueBytes + 1, 'x');
  EXPECT_EQ(Model.apply(Call, Now).Status, StoreStatus::Refused);
  Call.Value.pop_back();
  EXPECT_EQ(Model.apply(Call, Now).Status, StoreStatus::Ok);
}

} // namespace
} // namespace teaselwalk::fakes
