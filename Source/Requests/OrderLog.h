#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Base/Time.h"
#include "Wire/wire.pb.h"

/// What a recorder remembers of non-idempotent requests with a key.
///
/// A recorder that may have forgotten a record (it has just started) is
/// amnesiac: it stores claims, but does not vouch that a key is new. See
/// docs/design/0003-orders.md. Not thread safe.
namespace filbertwall {

struct StoredOrder {
  wire::OrderRecord record;
  TimePoint stored_at;
};

struct OrderLog {
  Milliseconds retention{600000};
  std::size_t limit = 200000;
  bool amnesiac = true;
  TimePoint started_at;
  std::map<std::string, StoredOrder> records;
};

/// Claims a key for an attempt, or answers with the record that stands.
wire::ClaimReply TakeClaim(OrderLog& log, const wire::Claim& claim,
                           TimePoint now);

/// Notes how an attempt ended. NOT_RUN with an empty answer withdraws a claim
/// that was never dispatched.
void TakeOutcome(OrderLog& log, const wire::OrderRecord& record, TimePoint now);

/// Merges records of another recorder; the one that knows more wins.
void MergeRecords(OrderLog& log, const wire::RecordsPage& page, TimePoint now);

/// The records after the key `after`, up to a bounded number of bytes.
wire::RecordsPage PageOfRecords(const OrderLog& log, const std::string& after,
                                TimePoint now);

/// Drops records past the retention; ends amnesia once it is that old.
void ExpireOrders(OrderLog& log, TimePoint now);

}  // namespace filbertwall
