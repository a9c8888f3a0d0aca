#pragma once

#include "tests/harness/operation.h"

#include <map>
#include <string>
#include <vector>

namespace sardinecourse::harness {

/**
 * The promise about settings, over "propose" (input: the change's note; output:
 * its revision when accepted) and "observe" (subject: one life of a host;
 * output: the revision in force). The table's own history, by note, settles
 * what really was accepted.
 */
class SettingsRule
{
public:
  explicit SettingsRule(std::map<std::string, std::int64_t> aRevisionByNote)
    : revisionByNote(std::move(aRevisionByNote))
  {
  }

  std::vector<std::string> Check(
    const std::vector<Operation>& aOperations) const
  {
    std::vector<std::string> breaches;
    std::map<std::string, std::int64_t> seen;
    for (const Operation& operation : aOperations) {
      if (operation.kind == "propose") {
        this->CheckProposal(operation, breaches);
      } else {
        CheckObservation(operation, seen, breaches);
      }
    }
    return breaches;
  }

private:
  void CheckProposal(const Operation& aOperation,
                     std::vector<std::string>& aBreaches) const
  {
    const auto found = this->revisionByNote.find(aOperation.input);
    const bool isAccepted = found != this->revisionByNote.end();
    const bool saysAccepted = aOperation.outcome == "accepted";
    const bool saysNotKnown =
      aOperation.outcome == "not-known" || !aOperation.returned;
    if (!saysNotKnown && isAccepted != saysAccepted) {
      aBreaches.push_back(aOperation.input + " was told " + aOperation.outcome +
                          " but stands " + (isAccepted ? "" : "not ") +
                          "in the table");
    }
    if (saysAccepted && isAccepted &&
        std::to_string(found->second) != aOperation.output) {
      aBreaches.push_back(aOperation.input + " was told revision " +
                          aOperation.output + " but is " +
                          std::to_string(found->second));
    }
  }

  static void CheckObservation(const Operation& aOperation,
                               std::map<std::string, std::int64_t>& aSeen,
                               std::vector<std::string>& aBreaches)
  {
    const std::int64_t revision = std::stoll(aOperation.output);
    std::int64_t& last = aSeen[aOperation.subject];
    if (revision < last) {
      aBreaches.push_back(aOperation.subject + " went back from revision " +
                          std::to_string(last) + " to " + aOperation.output);
    }
    last = std::max(last, revision);
  }

  std::map<std::string, std::int64_t> revisionByNote;
};

}
