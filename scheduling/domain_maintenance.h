#pragma once

#include "codecs/domain_backlog_json.h"
#include "codecs/domain_usage_json.h"
#include "codecs/pace_records_text.h"
#include "codecs/pending_json.h"
#include "contracts/domain_backlog_builder.h"
#include "contracts/domain_usage.h"
#include "core/reason.h"
#include "links/row_store.h"
#include "scheduling/event_line.h"
#include "scheduling/published_row.h"
#include "scheduling/store_rows.h"
#include "zones/domain_state.h"
#include "zones/job_intake.h"
#include "zones/pace/pace_records.h"
#include "zones/refusals/backlog_estimate.h"

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sardinecourse {

/** Publishes what callers and hosts need of the domain's state: the number of
 * pending jobs of each queue, the memory that the accepted jobs take, and the
 * measured paces of workers. */
template<typename Term>
class DomainMaintenance
{
public:
  explicit DomainMaintenance(Term& aTerm)
    : term(&aTerm)
  {
  }

  /** Stores the pending jobs of each queue when they have changed; a failed
   * write is logged and repeated. */
  boost::asio::awaitable<void> PublishPending()
  {
    PublishedRow<Term> row(*this->term, kPendingRow);
    while (this->term->IsActive()) {
      std::string text = EncodePending(this->term->Domain().Pending());
      co_await row.Store(std::move(text));
      co_await this->term->PauseFor(kPendingInterval);
    }
  }

  /** Stores how long the open jobs keep the workers busy: when it has changed,
   * and again from time to time while there is a backlog, so that hosts see
   * that it still holds. A failed write is repeated. */
  boost::asio::awaitable<void> PublishBacklog()
  {
    PublishedRow<Term> row(*this->term, kBacklogRow);
    DomainBacklog::Waits published;
    std::int64_t number = 0;
    Instant storedAt{};
    while (this->term->IsActive()) {
      const Instant now = Clock::now();
      DomainBacklog::Waits waits =
        PublishedBacklog(EstimateBacklog(this->term->Domain(), now));
      const bool isDue =
        row.IsDoubtful() || waits != published ||
        (!waits.empty() && now >= storedAt + kBacklogRepetition);
      if (isDue) {
        Reason ignored; // No wait is negative.
        const auto backlog =
          DomainBacklogBuilder().Waits(waits).Number(++number).Build(ignored);
        std::string value = EncodeDomainBacklog(*backlog);
        const bool isStored = co_await row.Store(std::move(value));
        if (isStored) {
          EventLine("backlog_stored")
            .Field("longest_ms", LongestOf(waits).count())
            .Field("number", number)
            .Emit();
          published = std::move(waits);
          storedAt = now;
        }
      }
      co_await this->term->PauseFor(kBacklogInterval);
    }
  }

  /** Stores the memory that the accepted jobs take when it has changed; a
   * failed write is logged and repeated. */
  boost::asio::awaitable<void> PublishUsage()
  {
    PublishedRow<Term> row(*this->term, kUsageRow);
    std::optional<DomainUsage> published;
    while (this->term->IsActive()) {
      if (!published) {
        published = co_await this->ReadUsage(row);
      }
      const DomainUsage usage = PublishedUsage(this->term->Domain().Usage());
      const bool isDue = published && (row.IsDoubtful() || usage != *published);
      if (isDue) {
        std::string value = EncodeDomainUsage(usage);
        const bool isStored = co_await row.Store(std::move(value));
        if (isStored) {
          EventLine("usage_stored")
            .Field("bytes", usage.Bytes())
            .Field("limit", kMaxIntakeBytes)
            .Emit();
          published = usage;
        }
      }
      co_await this->term->PauseFor(kUsageInterval);
    }
  }

  /** Adopts the paces that an earlier holder stored, then stores the measured
   * ones while they change. The next holder can also do without them, so a
   * failed call is logged and not repeated before its time. */
  boost::asio::awaitable<void> PublishPaces()
  {
    PublishedRow<Term> row(*this->term, kPaceRow);
    const std::optional<PaceRecords> stored = co_await this->ReadPaces(row);
    if (stored && this->term->IsActive()) {
      EventLine("paces_loaded")
        .Field("workers", static_cast<std::int64_t>(stored->Entries().size()))
        .Emit();
      this->term->Domain().LoadPaces(*stored, Clock::now());
      this->term->RequestPass();
    }
    PaceRecords published = stored.value_or(PaceRecords());
    while (this->term->IsActive()) {
      co_await this->term->PauseFor(kPaceInterval);
      const WorkerPaces* paces = this->term->Domain().Paces();
      if (paces == nullptr || !this->term->IsActive()) {
        continue;
      }
      PaceRecords records = paces->Records();
      const std::size_t unlike = records.CountUnlike(published);
      const bool isLike =
        unlike * kMinUnlikeShare < records.Entries().size() || unlike == 0;
      if (isLike && !row.IsDoubtful()) {
        continue;
      }
      std::string text = EncodePaceRecords(records);
      const bool isStored = co_await row.Store(std::move(text));
      if (isStored) {
        EventLine("paces_stored")
          .Field("workers", static_cast<std::int64_t>(records.Entries().size()))
          .Emit();
        published = std::move(records);
      }
    }
  }

private:
  static constexpr Milliseconds kPendingInterval{ 500 };
  /** Within this time a busy worker is measured anew, so older paces are of
   * little use to the next holder and newer ones save it little. */
  static constexpr Milliseconds kPaceInterval{ 3000 };
  /** The paces are stored again when one in so many is unlike the stored one.
   */
  static constexpr std::size_t kMinUnlikeShare = 20;
  static constexpr Milliseconds kBacklogInterval{ 500 };
  /** A host refuses nothing by a statement that may be over 5 s old. */
  static constexpr Milliseconds kBacklogRepetition{ 2000 };
  /** Hosts take jobs by the stored usage, so it is stored soon. */
  static constexpr Milliseconds kUsageInterval{ 100 };

  static Milliseconds LongestOf(const DomainBacklog::Waits& aWaits)
  {
    Milliseconds longest{ 0 };
    for (const auto& [key, wait] : aWaits) {
      longest = std::max(longest, wait);
    }
    return longest;
  }

  /** The usage that an earlier holder stored; none of it if the store has no
   * row. Empty when the read failed. */
  boost::asio::awaitable<std::optional<DomainUsage>> ReadUsage(
    PublishedRow<Term>& aRow)
  {
    Reason reason;
    const bool isLoaded = co_await aRow.Load(reason);
    if (!isLoaded) {
      EventLine("usage_unreadable").Field(reason).Emit();
      co_return std::nullopt;
    }
    if (!aRow.Value()) {
      co_return DomainUsage();
    }
    // A row that is not a usage is replaced.
    co_return DecodeDomainUsage(*aRow.Value(), reason)
      .value_or(DomainUsage().With(TeamName(), kMaxIntakeBytes));
  }

  boost::asio::awaitable<std::optional<PaceRecords>> ReadPaces(
    PublishedRow<Term>& aRow)
  {
    Reason reason;
    std::optional<PaceRecords> records;
    const bool isLoaded = co_await aRow.Load(reason);
    if (isLoaded && !aRow.Value()) {
      co_return records;
    }
    if (isLoaded) {
      records = DecodePaceRecords(*aRow.Value(), reason);
    }
    if (!records) {
      EventLine("pace_unreadable").Field(reason).Emit();
    }
    co_return records;
  }

  Term* term;
};

}
