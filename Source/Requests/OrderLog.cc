#include "Requests/OrderLog.h"

#include <algorithm>

#include "Base/Hash.h"

namespace filbertwall {
namespace {

constexpr std::size_t kRecordersPerKey = 3;
constexpr std::size_t kPageBytes = 256UL * 1024UL;

/// Returns whether `claim` starts a new generation of an order whose stored
/// outcome is NOT_RUN.
bool StartsNewGeneration(const wire::OrderRecord& claim,
                         const wire::OrderRecord& stored) {
  return stored.phase() == wire::NOT_RUN &&
         claim.generation() > stored.generation();
}

std::size_t AnswerBytes(const wire::OrderRecord& record) {
  return record.answer().body().size();
}

/// Returns the value of `answer_bytes` after `record` has replaced the stored
/// record of its key.
std::size_t AnswerBytesAfterStoring(const OrderLog& log,
                                    const wire::OrderRecord& record) {
  const auto stored = log.records.find(record.key());
  const std::size_t freed =
      stored == log.records.end() ? 0 : AnswerBytes(stored->second.record);
  return log.answer_bytes - freed + AnswerBytes(record);
}

/// Stores the record. If the stored responses would then exceed the byte limit,
/// stores it as an INTENT without the response.
void Store(OrderLog& log, const wire::OrderRecord& record, TimePoint now) {
  StoredOrder order{.record = record,
                    .stored_at = now - Milliseconds(record.age_ms())};
  if (AnswerBytesAfterStoring(log, record) > log.answer_byte_limit) {
    order.record.set_phase(wire::INTENT);
    order.record.clear_answer();
  }
  log.answer_bytes = AnswerBytesAfterStoring(log, order.record);
  log.records[record.key()] = std::move(order);
}

/// Returns whether `fresh` is of a later generation than `stored`, or of the
/// same one and has an outcome where `stored` has none.
bool Supersedes(const wire::OrderRecord& fresh,
                const wire::OrderRecord& stored) {
  if (fresh.generation() != stored.generation()) {
    return fresh.generation() > stored.generation();
  }
  return stored.phase() == wire::INTENT && fresh.phase() != wire::INTENT;
}

}  // namespace

std::vector<std::uint32_t> SelectRecorders(
    const std::vector<std::uint32_t>& pool, const std::string& key) {
  std::vector<std::uint32_t> ranked = pool;
  const std::uint64_t key_hash = Hash64(key);
  std::sort(ranked.begin(), ranked.end(),
            [&](std::uint32_t left, std::uint32_t right) {
              return MixHash(key_hash, left) > MixHash(key_hash, right);
            });
  ranked.resize(std::min(ranked.size(), kRecordersPerKey));
  return ranked;
}

bool HasCompleteRecords(const OrderLog& log, const std::string& key) {
  if (log.unsure_with.empty()) {
    return true;
  }
  const std::vector<std::uint32_t> recorders = SelectRecorders(log.pool, key);
  return std::none_of(recorders.begin(), recorders.end(),
                      [&](std::uint32_t instance) {
                        return log.unsure_with.contains(instance);
                      });
}

wire::ClaimReply ProcessClaim(OrderLog& log, const wire::Claim& claim,
                              TimePoint now) {
  const wire::OrderRecord& wanted = claim.record();
  wire::ClaimReply reply;
  reply.set_key(wanted.key());
  reply.set_attempt(wanted.attempt());
  const auto stored = log.records.find(wanted.key());
  if (stored != log.records.end()) {
    const wire::OrderRecord& record = stored->second.record;
    if (record.attempt() == wanted.attempt()) {
      reply.set_granted(record.phase() == wire::INTENT);
      *reply.mutable_existing() = record;
      return reply;
    }
    if (!StartsNewGeneration(wanted, record)) {
      *reply.mutable_existing() = record;
      return reply;
    }
  }
  if (log.records.size() >= log.limit) {
    // The claim can't be stored, so the reply must not confirm a new key.
    reply.set_amnesiac(true);
    return reply;
  }
  Store(log, wanted, now);
  reply.set_granted(true);
  reply.set_amnesiac(!HasCompleteRecords(log, wanted.key()));
  return reply;
}

void RecordOutcome(OrderLog& log, const wire::OrderRecord& record,
                   TimePoint now) {
  const auto stored = log.records.find(record.key());
  const bool known = stored != log.records.end();
  const bool same_attempt =
      known && stored->second.record.attempt() == record.attempt();
  const bool withdrawn =
      record.phase() == wire::NOT_RUN && record.answer().status() == 0;
  if (withdrawn) {
    if (same_attempt && stored->second.record.phase() == wire::INTENT) {
      log.records.erase(stored);
    }
    return;
  }
  if (!known || same_attempt || Supersedes(record, stored->second.record)) {
    Store(log, record, now);
  }
}

void MergeRecords(OrderLog& log, std::uint32_t from,
                  const wire::RecordsPage& page, TimePoint now) {
  for (const wire::OrderRecord& record : page.records()) {
    const auto stored = log.records.find(record.key());
    if (stored == log.records.end() ||
        Supersedes(record, stored->second.record)) {
      Store(log, record, now);
    }
  }
  const auto& unsure = page.unsure_with();
  const bool lost_at_both_recorders =
      std::find(unsure.begin(), unsure.end(), log.self) != unsure.end();
  if (page.next().empty() && !lost_at_both_recorders) {
    log.unsure_with.erase(from);
  }
}

wire::RecordsPage BuildRecordsPage(const OrderLog& log,
                                   const std::string& after, TimePoint now) {
  wire::RecordsPage page;
  for (const std::uint32_t instance : log.unsure_with) {
    page.add_unsure_with(instance);
  }
  std::size_t bytes = 0;
  for (auto item = log.records.upper_bound(after); item != log.records.end();
       ++item) {
    if (bytes > kPageBytes) {
      page.set_next(page.records(page.records_size() - 1).key());
      return page;
    }
    wire::OrderRecord& record = *page.add_records();
    record = item->second.record;
    record.set_age_ms(static_cast<std::uint32_t>(
        MillisecondsBetween(item->second.stored_at, now)));
    bytes += record.ByteSizeLong();
  }
  return page;
}

void RemoveExpiredOrders(OrderLog& log, TimePoint now) {
  std::erase_if(log.records, [&](const auto& item) {
    const bool expired = now - item.second.stored_at > log.retention;
    log.answer_bytes -= expired ? AnswerBytes(item.second.record) : 0;
    return expired;
  });
  if (now - log.started_at > log.retention) {
    // Any record lost in the restart would have expired by now.
    log.unsure_with.clear();
  }
}

}  // namespace filbertwall
