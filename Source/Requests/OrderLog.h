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
/// A recorder loses all records when it restarts. It then stores claims, but
/// confirms that a key is new only after it has pulled the records of the
/// key's other recorders. See docs/design/0003-orders.md. Not thread safe.
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
  /// Instances from which the shared records were not pulled since this
  /// instance started. Records stored only at both may be lost.
  std::set<std::uint32_t> unsure_with;
  TimePoint started_at;
  std::map<std::string, StoredOrder> records;
};

/// Returns the recorders of a key, by rendezvous hashing. Depends only on the
/// configured instances, so that all instances select the same recorders
/// regardless of which instances they consider alive.
std::vector<std::uint32_t> SelectRecorders(
    const std::vector<std::uint32_t>& pool, const std::string& key);

/// Returns whether this recorder would hold a record of the key if one existed.
bool HasCompleteRecords(const OrderLog& log, const std::string& key);

/// Grants the key to the attempt of the claim, or replies with the existing
/// record. A grant marked `amnesiac` does not confirm that the key is new. When
/// the log is full, the claim is not granted.
wire::ClaimReply TakeClaim(OrderLog& log, const wire::Claim& claim,
                           TimePoint now);

/// Records the outcome of an attempt. If the response would exceed
/// `answer_byte_limit`, the order stays an INTENT and its copies get "unknown".
/// NOT_RUN with an empty response withdraws a claim that was never dispatched.
void TakeOutcome(OrderLog& log, const wire::OrderRecord& record, TimePoint now);

/// Merges records pulled from the recorder `from`. Of two records of a key, the
/// one of the later generation is kept, or else the one with an outcome. After
/// the last page, this recorder can confirm new keys that both recorders share,
/// unless the sender reports that it lost the shared records as well.
void MergeRecords(OrderLog& log, std::uint32_t from,
                  const wire::RecordsPage& page, TimePoint now);

/// Returns the records that follow the key `after`, in key order. The page
/// ends soon after 256 KiB.
wire::RecordsPage PageOfRecords(const OrderLog& log, const std::string& after,
                                TimePoint now);

/// Removes records older than the retention. Once this recorder has run for
/// longer than that, it can confirm all new keys.
void ExpireOrders(OrderLog& log, TimePoint now);

}  // namespace filbertwall
