#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Base/Time.h"
#include "Wire/wire.pb.h"

/// What a recorder remembers of non-idempotent requests with a key.
///
/// A recorder that has just started has forgotten all records. It stores
/// claims, but vouches that a key is new only once it has pulled the records
/// of the key's other recorders. See docs/design/0003-orders.md. Not thread
/// safe.
namespace filbertwall {

struct StoredOrder {
  wire::OrderRecord record;
  TimePoint stored_at;
};

struct OrderLog {
  Milliseconds retention{600000};
  std::size_t limit = 50000;
  std::size_t answer_byte_limit = 16UL << 20U;
  std::size_t answer_bytes = 0;  ///< Bodies of the remembered answers.
  std::uint32_t self = 0;
  std::vector<std::uint32_t> pool;  ///< All instances that record orders.
  /// Instances whose records shared with this one may be lost at both.
  std::set<std::uint32_t> unsure_with;
  TimePoint started_at;
  std::map<std::string, StoredOrder> records;
};

/// The recorders of a key: a pure function of the configured instances, so
/// that every instance names the same, whatever it thinks is alive.
std::vector<std::uint32_t> RecordersOf(const std::vector<std::uint32_t>& pool,
                                       const std::string& key);

/// Whether this recorder would know a record of the key if there were one.
bool Vouches(const OrderLog& log, const std::string& key);

/// Claims a key for an attempt, or answers with the record that stands.
wire::ClaimReply TakeClaim(OrderLog& log, const wire::Claim& claim,
                           TimePoint now);

/// Notes how an attempt ended. An answer beyond the limit of bytes leaves the
/// order an intent, so that its copies get "unknown". NOT_RUN with an empty
/// answer withdraws a claim that was never dispatched.
void TakeOutcome(OrderLog& log, const wire::OrderRecord& record, TimePoint now);

/// Merges records of the recorder `from`; the one that knows more wins. After
/// its last page this recorder may vouch for the keys that both share.
void MergeRecords(OrderLog& log, std::uint32_t from,
                  const wire::RecordsPage& page, TimePoint now);

/// The records after the key `after`, up to a bounded number of bytes.
wire::RecordsPage PageOfRecords(const OrderLog& log, const std::string& after,
                                TimePoint now);

/// Drops records past the retention; ends amnesia once it is that old.
void ExpireOrders(OrderLog& log, TimePoint now);

}  // namespace filbertwall
