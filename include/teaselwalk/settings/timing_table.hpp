#pragma once

#include "teaselwalk/settings/settings.hpp"

#include <array>

/// Key, range and meaning of each timing constant.
namespace teaselwalk::settings {

struct TimingField {
  const char *Key;
  Duration Timing::*Value;
  Duration Min;
  Duration Max;
  const char *Meaning;
};

// The upper bounds of document_age_ms and reclaim_ms are the limits that the
// invariants I3, I5 and the reclaim time of design 3.8 set.
constexpr std::array<TimingField, 19> TimingTable = {{
    {"authority_ms", &Timing::Authority, Duration(500), Duration(60000),
     "how long a confirmed epoch counts for a shard's authority"},
    {"task_lease_ms", &Timing::TaskLease, Duration(2000), Duration(600000),
     "how long a task runs without a renewal"},
    {"renew_ms", &Timing::Renew, Duration(50), Duration(10000),
     "time between renewals to an endpoint"},
    {"contact_lost_ms", &Timing::ContactLost, Duration(500), Duration(300000),
     "time without an answer after which renewals to an endpoint stop"},
    {"heartbeat_ms", &Timing::Heartbeat, Duration(50), Duration(10000),
     "time between heartbeats within a data centre"},
    {"suspect_ms", &Timing::Suspect, Duration(200), Duration(60000),
     "time without a heartbeat after which a process is suspect"},
    {"dead_ms", &Timing::Dead, Duration(300), Duration(60000),
     "time without a heartbeat after which a process counts as dead"},
    {"member_lease_ms", &Timing::MemberLease, Duration(1000), Duration(120000),
     "lease of the process's entry under members/ in the store"},
    {"document_read_ms", &Timing::DocumentRead, Duration(100), Duration(2000),
     "time between reads of config/head"},
    {"document_age_ms", &Timing::DocumentAge, Duration(300), Duration(3000),
     "age of the document after which nothing new is started"},
    {"digest_ms", &Timing::Digest, Duration(100), Duration(30000),
     "time between digests to other data centres"},
    {"plain_lease_ms", &Timing::PlainLease, Duration(2000), Duration(120000),
     "store lease of a shard in endpoint mode plain"},
    {"plain_command_ms", &Timing::PlainCommand, Duration(200), Duration(30000),
     "validity of a command in endpoint mode plain"},
    {"reclaim_ms", &Timing::Reclaim, Duration(100), Duration(3000),
     "time for a borrowed task to checkpoint before it is stopped"},
    {"endpoint_rest_ms", &Timing::EndpointRest, Duration(1000),
     Duration(300000), "first rest of an endpoint after repeated failures"},
    {"endpoint_rest_max_ms", &Timing::EndpointRestMax, Duration(1000),
     Duration(3600000), "longest rest of an endpoint"},
    {"store_timeout_ms", &Timing::StoreTimeout, Duration(50), Duration(30000),
     "time for one call to the store"},
    {"endpoint_timeout_ms", &Timing::EndpointTimeout, Duration(50),
     Duration(30000), "time for one command to an endpoint"},
    {"drain_limit_ms", &Timing::DrainLimit, Duration(1000), Duration(3600000),
     "longest graceful shutdown"},
}};

/// "`Smaller` times `Factor` must be at most `Larger`."
struct TimingRule {
  Duration Timing::*Smaller;
  int Factor;
  Duration Timing::*Larger;
};

constexpr std::array<TimingRule, 11> TimingRules = {{
    // Two renewals may be lost without loss of authority.
    {&Timing::Renew, 3, &Timing::Authority},
    // An owner loses authority before the leases of its tasks end.
    {&Timing::Authority, 2, &Timing::TaskLease},
    {&Timing::ContactLost, 1, &Timing::TaskLease},
    {&Timing::Renew, 3, &Timing::ContactLost},
    {&Timing::Heartbeat, 2, &Timing::Suspect},
    {&Timing::Suspect, 1, &Timing::Dead},
    {&Timing::DocumentRead, 2, &Timing::DocumentAge},
    {&Timing::EndpointRest, 1, &Timing::EndpointRestMax},
    {&Timing::PlainCommand, 1, &Timing::PlainLease},
    {&Timing::StoreTimeout, 2, &Timing::MemberLease},
    {&Timing::EndpointTimeout, 1, &Timing::Authority},
}};

} // namespace teaselwalk::settings
