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
constexpr std::size_t kWords = 64;

using Words = std::array<int, kWords>;

}

class SnapshotTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SnapshotTest);
  CPPUNIT_TEST(ReadersSeeWholeValuesInOrder);
  CPPUNIT_TEST_SUITE_END();

public:
  void ReadersSeeWholeValuesInOrder()
  {
    Snapshot<Words> snapshot(std::make_unique<const Words>());
    std::atomic<int> violations = 0;
    std::vector<std::thread> readers;
    readers.reserve(kReaders);
    for (int reader = 0; reader < kReaders; ++reader) {
      readers.emplace_back(
        [&snapshot, &violations] { ReadUntilLast(snapshot, violations); });
    }
    for (int version = 1; version <= kPublications; ++version) {
      Words next;
      next.fill(version);
      snapshot.Publish(std::make_unique<const Words>(next));
    }
    for (std::thread& reader : readers) {
      reader.join();
    }
    CPPUNIT_ASSERT_EQUAL(0, violations.load());
  }

private:
  static void ReadUntilLast(const Snapshot<Words>& aSnapshot,
                            std::atomic<int>& aViolations)
  {
    const RcuThread rcuThread;
    int last = 0;
    while (last < kPublications) {
      const auto words = aSnapshot.Read();
      if (words->front() < last || words->front() != words->back()) {
        ++aViolations;
      }
      last = words->front();
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SnapshotTest);

}
