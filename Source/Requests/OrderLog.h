#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Base/Time.h"
#include "Wire/wire.pb.h"

/// In-memory records of orders. An order is a non-idempotent request with an
/// Idempotency-Key; the recorders of its key are the instances that store its
/// record.
///
/// Before an instance dispatches an order, it claims the key at the recorders:
/// each stores the claim as an INTENT and confirms that the key is new to it.
/// A recorder loses all records when it restarts. After that it still stores
/// claims, but confirms that a key is new only after it has pulled the records
/// of the key's other recorders. See docs/design/0003-orders.md. Not thread
/// safe.
namespace filbertwall {

struct StoredOrder {
  wire::OrderRecord record;
  TimePoint stored_at;
};

struct OrderLog {
  Milliseconds retention{600000};
  std::size_t limit = 50000;  ///< Maximum number of records.
  std::size_t answer_byte_limit = 16UL << 20U;
  std::size_t answer_bytes = 0;  ///< Total size of the stored response bodies.
  std::uint32_t self = 0;
  std::vector<std::uint32_t> pool;  ///< All instances that record orders.
  /// Instances from which this instance has not pulled records since it
  /// started. It may lack records of the keys that both of them record.
  std::set<std::uint32_t> unsure_with;
  TimePoint started_at;
  std::map<std::string, StoredOrder> records;
};

/// Returns the recorders of a key, by rendezvous hashing. Depends only on the
/// configured instances, so that all instances select the same recorders
/// regardless of which instances they consider alive.
std::vector<std::uint32_t> SelectRecorders(
    const std::vector<std::uint32_t>& pool, const std::string& key);

/// Returns whether a missing record of the key means that the key is new: that
/// is, whether none of its recorders is in `unsure_with`.
bool HasCompleteRecords(const OrderLog& log, const std::string& key);

/// Stores the claim and grants the key to its attempt, or replies with the
/// existing record of another attempt. A grant marked `amnesiac` does not
/// confirm that the key is new, since records of it may be missing here. When
/// the log is full, the claim is not granted.
wire::ClaimReply ProcessClaim(OrderLog& log, const wire::Claim& claim,
                              TimePoint now);

/// Records the outcome of an attempt. If the stored responses would then exceed
/// `answer_byte_limit`, the order is kept as an INTENT without the response,
/// and later requests with its key get "unknown". An outcome NOT_RUN without a
/// response status withdraws a claim whose order was never dispatched: the
/// INTENT of that attempt is removed.
void RecordOutcome(OrderLog& log, const wire::OrderRecord& record,
                   TimePoint now);

/// Merges records pulled from the recorder `from`. Of two records of a key, the
/// one of the later generation is kept, or else the one with an outcome. The
/// last page removes `from` from `unsure_with`, unless it lists this instance:
/// then the sender may lack records of the shared keys as well.
void MergeRecords(OrderLog& log, std::uint32_t from,
                  const wire::RecordsPage& page, TimePoint now);

/// Returns the records that follow the key `after`, in key order. The page
/// ends soon after 256 KiB.
wire::RecordsPage BuildRecordsPage(const OrderLog& log,
                                   const std::string& after, TimePoint now);

/// Removes records older than the retention. Once this recorder has run for
/// longer than that, it can confirm that any key is new, since all records lost
/// in its restart would have expired.
void RemoveExpiredOrders(OrderLog& log, TimePoint now);

}  // namespace filbertwall
