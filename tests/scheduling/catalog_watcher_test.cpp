#include "scheduling/catalog_watcher.h"

#include "platform/schema.h"
#include "tests/scheduling/fake_row_store.h"
#include "tests/scheduling/sample_jobs.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

namespace {

const std::string kRow = "evacuate/a";
const DataCentreName kDataCentre("a");

}

/** What a host takes for evacuated while it follows the operators' rows; the
 * store in memory answers each read at once. */
class CatalogWatcherTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CatalogWatcherTest);
  CPPUNIT_TEST(EvacuationIsReadAtStart);
  CPPUNIT_TEST(RowThatGoesAndComesBackIsFollowed);
  CPPUNIT_TEST(RowRemovedWhileHistoryIsLostIsNoticed);
  CPPUNIT_TEST(RowAddedWhileHistoryIsLostIsNoticed);
  CPPUNIT_TEST(OtherRowsAreNoEvacuations);
  CPPUNIT_TEST(ViewIsNotConfirmedWhileStoreIsAway);
  CPPUNIT_TEST_SUITE_END();

public:
  void EvacuationIsReadAtStart()
  {
    this->store.Put(platform::kCatalogTable, kRow, "");
    const Instant before = Clock::now();
    this->Read({ [] {} });
    CPPUNIT_ASSERT(this->View().IsClosed(kDataCentre));
    CPPUNIT_ASSERT(*this->View().ConfirmedAt() >= before);
  }

  void RowThatGoesAndComesBackIsFollowed()
  {
    this->Read({ [] {},
                 [this] { this->store.Put(platform::kCatalogTable, kRow, ""); },
                 [this] { this->AssertClosed(true); },
                 [this] { this->store.Remove(platform::kCatalogTable, kRow); },
                 [this] { this->AssertClosed(false); },
                 [this] {
                   this->store.Put(platform::kCatalogTable, kRow, "");
                   this->store.Remove(platform::kCatalogTable, kRow);
                   this->store.Put(platform::kCatalogTable, kRow, "");
                 } });
    CPPUNIT_ASSERT(this->View().IsClosed(kDataCentre));
  }

  void RowRemovedWhileHistoryIsLostIsNoticed()
  {
    this->store.Put(platform::kCatalogTable, kRow, "");
    this->Read({ [] {},
                 [this] {
                   this->store.Remove(platform::kCatalogTable, kRow);
                   this->store.isHistoryLost = true;
                 },
                 [this] {
                   // The view stays as it is until all rows were read.
                   this->AssertClosed(true);
                   this->store.isHistoryLost = false;
                 } });
    CPPUNIT_ASSERT(!this->View().IsClosed(kDataCentre));
  }

  void RowAddedWhileHistoryIsLostIsNoticed()
  {
    this->Read({ [] {},
                 [this] {
                   this->store.Put(platform::kCatalogTable, kRow, "");
                   this->store.isHistoryLost = true;
                 },
                 [this] { this->store.isHistoryLost = false; } });
    CPPUNIT_ASSERT(this->View().IsClosed(kDataCentre));
  }

  void OtherRowsAreNoEvacuations()
  {
    for (const char* key :
         { "evacuate", "evacuate/", "evacuated/a", "wave/1" }) {
      this->store.Put(platform::kCatalogTable, key, "");
    }
    this->Read({ [] {}, [] {} });
    CPPUNIT_ASSERT(this->View().Closed().empty());
  }

  void ViewIsNotConfirmedWhileStoreIsAway()
  {
    std::optional<Instant> confirmed;
    this->Read({ [] {},
                 [&] {
                   confirmed = this->View().ConfirmedAt();
                   this->store.isDown = true;
                 },
                 [] {} });
    CPPUNIT_ASSERT(this->View().ConfirmedAt() == confirmed);
  }

private:
  using Watcher = CatalogWatcher<FakeRowStore, platform::Schema>;

  const EvacuationView& View() const { return this->watcher.Evacuations(); }
  void AssertClosed(bool aIsClosed)
  {
    CPPUNIT_ASSERT_EQUAL(aIsClosed, this->View().IsClosed(kDataCentre));
  }

  /** Runs the watcher for one read of the store after each of aBefore; ends it
   * at the next one. */
  void Read(std::deque<std::function<void()>> aBefore)
  {
    aBefore.push_back([this] {
      // The watcher suspends only after a failed read.
      this->store.isDown = true;
      this->context.stop();
    });
    this->store.beforeReads = std::move(aBefore);
    boost::asio::co_spawn(
      this->context, this->watcher.Run(), boost::asio::detached);
    this->context.run();
  }

  boost::asio::io_context context{ 1 };
  FakeRowStore store;
  CurrentCatalog catalog;
  Watcher watcher{ this->context,
                   this->store,
                   this->catalog,
                   [](const ServiceCatalog&) {},
                   [](const EvacuationView&) {} };
};

CPPUNIT_TEST_SUITE_REGISTRATION(CatalogWatcherTest);

}
