#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace sardinecourse::harness {

/** Broken rules of a rehearsal by name, and counts of what is no violation; may
 * be used by any thread. */
class ViolationLog
{
public:
  /** Counts and prints a violation with its record. */
  void Add(const std::string& aName, const std::string& aRecord);
  /** Counts an event that breaks no rule. */
  void Count(const std::string& aName);

  bool IsEmpty() const;
  /** All counts on one line. */
  std::string Summary() const;

private:
  mutable std::mutex mutex;
  std::map<std::string, std::int64_t> violations;
  std::map<std::string, std::int64_t> counts;
};

}
