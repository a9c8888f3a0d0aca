#include "core/rcu_thread.h"
#include "core/snapshot.h"

#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <thread>
#include <vector>

namespace sardinecourse {

namespace {

constexpr int kPublications = 200;
constexpr int kReaders = 4;
constexpr std::size_t kValueSize = 64;

using Values = std::array<int, kValueSize>;

}

class SnapshotTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SnapshotTest);
  CPPUNIT_TEST(ReadersSeeCompleteValuesInOrder);
  CPPUNIT_TEST_SUITE_END();

public:
  void ReadersSeeCompleteValuesInOrder()
  {
    Snapshot<Values> snapshot(std::make_unique<const Values>());
    std::atomic<int> violations = 0;
    std::vector<std::thread> readers;
    readers.reserve(kReaders);
    for (int reader = 0; reader < kReaders; ++reader) {
      readers.emplace_back(
        [&snapshot, &violations] { ReadUntilLast(snapshot, violations); });
    }
    for (int version = 1; version <= kPublications; ++version) {
      Values next;
      next.fill(version);
      snapshot.Publish(std::make_unique<const Values>(next));
    }
    for (std::thread& reader : readers) {
      reader.join();
    }
    CPPUNIT_ASSERT_EQUAL(0, violations.load());
  }

private:
  static void ReadUntilLast(const Snapshot<Values>& aSnapshot,
                            std::atomic<int>& aViolations)
  {
    const RcuThread rcuThread;
    int last = 0;
    while (last < kPublications) {
      const auto values = aSnapshot.Read();
      if (values->front() < last || values->front() != values->back()) {
        ++aViolations;
      }
      last = values->front();
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SnapshotTest);

}
