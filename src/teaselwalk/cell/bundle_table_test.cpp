#include "teaselwalk/cell/bundle_table.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace teaselwalk::cell {
namespace {

const JobId First("0000000000000001");
const JobId Second("0000000000000002");

// Guards against a bundle that is removed although it holds the latest record
// of a job.
TEST(BundleTableTest, KeepsABundleUntilAllItsRecordsAreElsewhere) {
  BundleTable Table;
  Table.add("a", {{First, 3}, {Second, 5}});
  Table.supersede(First, 2);
  Table.supersede(Second, 5);
  EXPECT_FALSE(Table.hasUnneeded());
  Table.supersede(First, 3);
  ASSERT_TRUE(Table.hasUnneeded());
  EXPECT_EQ(Table.takeUnneeded(), "a");
  EXPECT_FALSE(Table.hasUnneeded());
  EXPECT_EQ(Table.size(), 0U);
}

// Guards against bundles that pile up because a later one holds their records.
TEST(BundleTableTest, ALaterBundleReplacesTheRecordsOfAnEarlierOne) {
  BundleTable Table;
  Table.add("a", {{First, 3}});
  Table.add("b", {{First, 3}, {Second, 1}});
  ASSERT_TRUE(Table.hasUnneeded());
  EXPECT_EQ(Table.takeUnneeded(), "a");
  EXPECT_EQ(Table.size(), 1U);
}

// Guards against an outdated record that replaces a newer one because bundles
// are read in the order of their keys.
TEST(BundleTableTest, AnOlderRecordThatIsReadLaterIsNotNeeded) {
  BundleTable Table;
  Table.add("b", {{First, 4}});
  Table.add("a", {{First, 3}});
  ASSERT_TRUE(Table.hasUnneeded());
  EXPECT_EQ(Table.takeUnneeded(), "a");
  EXPECT_EQ(Table.smallest(10), std::vector<JobId>{First});
}

// Guards against bundles that are kept for jobs that are removed.
TEST(BundleTableTest, RemovedJobsNeedNoRecords) {
  BundleTable Table;
  Table.add("a", {{First, 3}, {Second, 1}});
  Table.drop(First);
  EXPECT_FALSE(Table.hasUnneeded());
  Table.drop(Second);
  EXPECT_TRUE(Table.hasUnneeded());
  EXPECT_TRUE(Table.neededJobs().empty());
}

// Guards against a choice of records to move that empties no bundle.
TEST(BundleTableTest, NamesTheBundleWithTheFewestRecords) {
  BundleTable Table;
  Table.add("a", {{First, 3}, {Second, 1}});
  Table.add("b", {{JobId("0000000000000003"), 1}});
  EXPECT_EQ(Table.smallest(10), std::vector<JobId>{JobId("0000000000000003")});
  EXPECT_EQ(Table.smallest(0).size(), 0U);
}

} // namespace
} // namespace teaselwalk::cell
