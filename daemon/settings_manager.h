#pragma once

#include "codecs/fleet_yaml.h"
#include "codecs/settings_json.h"
#include "contracts/settings_answer.h"
#include "contracts/settings_proposal.h"
#include "contracts/settings_text.h"
#include "contracts/table_transaction.h"
#include "contracts/text_delta.h"
#include "core/identity_source.h"
#include "core/instant.h"
#include "core/reason.h"
#include "core/wall_time.h"
#include "daemon/settings_adopter.h"
#include "daemon/settings_log.h"
#include "daemon/settings_peers.h"
#include "daemon/settings_rows.h"
#include "links/platform_table.h"
#include "zones/fleet.h"
#include "zones/settings_checks.h"
#include "zones/settings_decisions.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>
#include <vector>

namespace sardinecourse {

/**
 * Keeps the highest accepted revision of the fleet's settings in force on this
 * host, and accepts changes. All methods run on the control thread. Each poll
 * reads one small row, and the text only if its revision is new. If the
 * platform does not answer, the highest revision of the peers is adopted.
 */
template<PlatformTable Table, SettingsPeers Peers, SettingsAdopter Adopter>
class SettingsManager
{
public:
  /** A host without settings asks its peers only after aPlatformWait (ms). */
  SettingsManager(boost::asio::io_context& aContext,
                  DataCentreName aDataCentre,
                  Table& aTable,
                  Peers& aPeers,
                  Adopter& aAdopter,
                  Milliseconds aPlatformWait)
    : dataCentre(std::move(aDataCentre))
    , table(&aTable)
    , peers(&aPeers)
    , adopter(&aAdopter)
    , acceptPeersFrom(Clock::now() + aPlatformWait)
    , timer(aContext)
  {
  }

  /** Polls until Stop(). */
  boost::asio::awaitable<void> Run()
  {
    while (!this->isStopped) {
      co_await this->Poll();
      co_await this->WaitForNextPoll();
    }
  }

  void Stop()
  {
    this->isStopped = true;
    this->timer.cancel();
  }

  /** Handles a revision announced by a peer; a higher one triggers a poll. */
  void OnPeerRevision(std::int64_t aRevision)
  {
    this->highestPeerRevision = std::max(this->highestPeerRevision, aRevision);
    if (ShouldAdopt(this->inForce.revision, aRevision)) {
      this->isPollRequested = true;
      this->timer.cancel();
    }
  }

  /** The settings in force; the revision is zero while there are none. */
  const SettingsText& InForce() const { return this->inForce; }
  const std::optional<Fleet>& InForceFleet() const { return this->fleet; }

  /** Reads the newest revision once, and adopts it if it is higher. */
  boost::asio::awaitable<void> Poll()
  {
    Reason reason;
    const std::optional<TableRow> row = co_await this->ReadNewest(reason);
    if (!row) {
      co_await this->AskPeers();
      co_return;
    }
    const std::optional<SettingsRecord> newest = RecordOf(*row, reason);
    if (newest && this->IsAdoptable(newest->Revision())) {
      co_await this->Fetch(*newest);
    }
  }

  /** Validates a proposal, stores it as the next revision and adopts it here,
   * unless another change was accepted first. Other hosts adopt it after an
   * announcement or a poll. The answer holds the reason of a refusal. */
  boost::asio::awaitable<SettingsAnswer> Accept(SettingsProposal aProposal)
  {
    SettingsAnswer answer;
    const std::optional<Fleet> proposed =
      DecodeFleet(aProposal.yaml, aProposal.file, 0, answer.reason);
    if (!proposed || !GuaranteesFitEverywhere(*proposed, answer.reason)) {
      answer.outcome = AcceptOutcome::kInvalid;
      co_return answer;
    }
    const std::optional<TableRow> row =
      co_await this->ReadNewest(answer.reason);
    if (!row) {
      answer.outcome = AcceptOutcome::kUnreachable;
      co_return answer;
    }
    answer = co_await this->Replace(*row, aProposal);
    if (answer.outcome == AcceptOutcome::kAccepted) {
      this->Adopt({ answer.record->Revision(), aProposal.yaml }, "operator");
    }
    LogProposal(aProposal, answer);
    co_return answer;
  }

  /** The last aMaxRecords changes, newest first; empty, with aReason, if the
   * platform does not answer. */
  boost::asio::awaitable<std::optional<std::vector<SettingsRecord>>> History(
    std::int64_t aMaxRecords,
    Reason& aReason)
  {
    const std::optional<TableRow> row = co_await this->ReadNewest(aReason);
    if (!row) {
      co_return std::nullopt;
    }
    std::vector<SettingsRecord> records;
    const std::optional<SettingsRecord> newest = RecordOf(*row, aReason);
    const std::int64_t last = newest ? newest->Revision() : 0;
    for (std::int64_t revision = last;
         revision > 0 && revision > last - aMaxRecords;
         --revision) {
      std::optional<SettingsRecord> record =
        co_await this->ReadRecord(revision, aReason);
      if (!record) {
        co_return std::nullopt;
      }
      records.push_back(std::move(*record));
    }
    co_return records;
  }

private:
  /** A host that is more revisions behind reads the full text. */
  static constexpr std::int64_t kMaxDeltas = 8;
  /** Poll interval of a host that has no settings yet. */
  static constexpr Milliseconds kFirstPollInterval{ 200 };

  boost::asio::awaitable<void> WaitForNextPoll()
  {
    if (this->isStopped || std::exchange(this->isPollRequested, false)) {
      co_return;
    }
    const Milliseconds interval = this->PollInterval();
    boost::system::error_code ignored;
    this->timer.expires_after(interval);
    co_await this->timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    this->isPollRequested = false;
  }

  Milliseconds PollInterval() const
  {
    if (!this->fleet) {
      return kFirstPollInterval;
    }
    const SettingsScope here{ this->dataCentre, {}, {} };
    return this->fleet->Settings().Resolve(here).SettingsPoll();
  }

  bool IsAdoptable(std::int64_t aRevision) const
  {
    return ShouldAdopt(this->inForce.revision, aRevision) &&
           aRevision != this->unreadableRevision;
  }

  boost::asio::awaitable<std::optional<TableRow>> ReadNewest(Reason& aReason)
  {
    const std::string key = NewestSettingsKey();
    std::optional<TableRow> row = co_await this->table->Read(key, aReason);
    co_return row;
  }

  boost::asio::awaitable<std::optional<SettingsRecord>> ReadRecord(
    std::int64_t aRevision,
    Reason& aReason)
  {
    const std::string key = SettingsHistoryKey(aRevision);
    const std::optional<TableRow> row =
      co_await this->table->Read(key, aReason);
    co_return row ? RecordOf(*row, aReason) : std::nullopt;
  }

  boost::asio::awaitable<void> Fetch(SettingsRecord aNewest)
  {
    std::optional<std::string> yaml =
      co_await this->ReadDeltas(aNewest.Revision());
    if (!yaml) {
      yaml = co_await this->ReadText(aNewest.Revision());
    }
    if (yaml) {
      this->Adopt({ aNewest.Revision(), std::move(*yaml) }, "platform");
    }
  }

  /** The text of a revision; empty if it cannot be read. Its row is deleted
   * after kKeptTexts further revisions; the next poll then reads the newest
   * one. */
  boost::asio::awaitable<std::optional<std::string>> ReadText(
    std::int64_t aRevision)
  {
    Reason ignored;
    const std::string key = SettingsTextKey(aRevision);
    const std::optional<TableRow> row =
      co_await this->table->Read(key, ignored);
    if (!row || row->Revision() == 0) {
      co_return std::nullopt;
    }
    co_return row->Value();
  }

  /** The text of a revision, computed by applying deltas to the text in force;
   * empty if there are too many deltas or one is missing. */
  boost::asio::awaitable<std::optional<std::string>> ReadDeltas(
    std::int64_t aRevision)
  {
    const std::int64_t first = this->inForce.revision + 1;
    std::optional<std::string> yaml = this->inForce.yaml;
    if (first == 1 || aRevision - first >= kMaxDeltas) {
      co_return std::nullopt;
    }
    for (std::int64_t next = first; yaml && next <= aRevision; ++next) {
      Reason ignored;
      const std::string key = SettingsDeltaKey(next);
      const std::optional<TableRow> row =
        co_await this->table->Read(key, ignored);
      if (!row || row->Revision() == 0) {
        co_return std::nullopt;
      }
      const std::optional<TextDelta> delta =
        DecodeTextDelta(row->Value(), ignored);
      yaml = delta ? ApplyDelta(*yaml, *delta, ignored) : std::nullopt;
    }
    co_return yaml;
  }

  /** Adopts the settings of the peers if needed. A host that has settings asks
   * only after a peer has announced a higher revision. A host without settings
   * waits for the platform first, because its peers may not have received the
   * most recent change yet. */
  boost::asio::awaitable<void> AskPeers()
  {
    const bool hasNoSettings = this->inForce.revision == 0;
    const bool isRequired =
      hasNoSettings
        ? Clock::now() >= this->acceptPeersFrom
        : ShouldAdopt(this->inForce.revision, this->highestPeerRevision);
    if (!isRequired) {
      co_return;
    }
    Reason reason;
    std::optional<SettingsText> settings = co_await this->peers->Ask(reason);
    if (settings && this->IsAdoptable(settings->revision)) {
      this->Adopt(std::move(*settings), "peer");
    }
  }

  void Adopt(SettingsText aSettings, const char* aSource)
  {
    if (!ShouldAdopt(this->inForce.revision, aSettings.revision)) {
      return;
    }
    Reason reason;
    std::optional<Fleet> decoded =
      DecodeFleet(aSettings.yaml, "settings", aSettings.revision, reason);
    if (!decoded) {
      this->unreadableRevision = aSettings.revision;
      LogUnreadable(aSettings.revision, aSource, reason);
      return;
    }
    this->fleet = std::move(decoded);
    this->inForce = std::move(aSettings);
    this->adopter->Adopt(*this->fleet);
    LogAdopted(this->inForce.revision, aSource);
    this->peers->Announce(this->inForce.revision);
  }

  boost::asio::awaitable<SettingsAnswer> Replace(
    const TableRow& aNewest,
    const SettingsProposal& aProposal)
  {
    SettingsAnswer answer;
    const std::optional<SettingsRecord> newest =
      RecordOf(aNewest, answer.reason);
    bool isSame = false;
    if (newest) {
      isSame = co_await this->IsText(newest->Revision(), aProposal.yaml);
    }
    if (isSame) {
      answer.outcome = AcceptOutcome::kUnchanged;
      answer.record = newest;
      co_return answer;
    }
    const auto now = WallNow();
    const std::string identity = this->identities.Next();
    const std::optional<SettingsRecord> next =
      NextRecord(newest, aProposal, identity, now, answer.reason);
    if (!next) {
      answer.outcome = AcceptOutcome::kConflict;
      answer.record = newest;
      co_return answer;
    }
    std::optional<std::string> previousYaml;
    if (this->inForce.revision == next->Revision() - 1) {
      previousYaml = this->inForce.yaml;
    }
    const std::optional<TableTransaction> transaction = AcceptTransaction(
      aNewest, *next, previousYaml, aProposal.yaml, answer.reason);
    const WriteOutcome outcome =
      co_await this->table->Commit(*transaction, answer.reason);
    co_await this->ResolveOutcome(outcome, *next, answer);
    co_return answer;
  }

  /** Determines the outcome of the commit of aNext. */
  boost::asio::awaitable<void> ResolveOutcome(WriteOutcome aOutcome,
                                              SettingsRecord aNext,
                                              SettingsAnswer& aAnswer)
  {
    std::optional<SettingsRecord> stored;
    if (aOutcome == WriteOutcome::kNotKnown ||
        aOutcome == WriteOutcome::kConflict) {
      Reason ignored;
      stored = co_await this->ReadRecord(aNext.Revision(), ignored);
    }
    aAnswer.outcome = ResolveAcceptOutcome(aOutcome, aNext.Identity(), stored);
    aAnswer.record = stored;
    if (aAnswer.outcome == AcceptOutcome::kAccepted) {
      aAnswer.record = aNext;
      aAnswer.reason = Reason();
    }
    if (aAnswer.outcome == AcceptOutcome::kConflict && stored) {
      aAnswer.reason =
        Reason(Step::kSettings, "", "another change was accepted first");
    }
  }

  /** True if the text of a revision equals aYaml. */
  boost::asio::awaitable<bool> IsText(std::int64_t aRevision,
                                      const std::string& aYaml)
  {
    if (aRevision == this->inForce.revision) {
      co_return aYaml == this->inForce.yaml;
    }
    const std::optional<std::string> text = co_await this->ReadText(aRevision);
    co_return text == aYaml;
  }

  DataCentreName dataCentre;
  Table* table;
  Peers* peers;
  Adopter* adopter;
  Instant acceptPeersFrom;
  boost::asio::steady_timer timer;
  IdentitySource identities;
  SettingsText inForce;
  std::optional<Fleet> fleet;
  /** The highest revision announced by a peer. */
  std::int64_t highestPeerRevision = 0;
  /** A revision that this version cannot decode; it waits for a higher one. */
  std::int64_t unreadableRevision = 0;
  bool isPollRequested = false;
  bool isStopped = false;
};

}
