#pragma once

#include "tests/harness/operation.h"

#include <map>
#include <string>
#include <vector>

namespace sardinecourse::harness {

/**
 * Checks that answers to proposals match the table and that the revision in
 * force on a host never decreases. The operations are "propose" (input: the
 * note of the change; output: its revision when accepted) and "observe"
 * (subject: one incarnation of a host; output: the revision in force). The
 * revisions stored in the table, by note, show which proposals were accepted.
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
    std::map<std::string, std::int64_t> highest;
    for (const Operation& operation : aOperations) {
      if (operation.kind == "propose") {
        this->CheckProposal(operation, breaches);
      } else {
        CheckObservation(operation, highest, breaches);
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
    const bool isAnsweredAccepted = aOperation.outcome == "accepted";
    const bool isAnswerUnknown =
      aOperation.outcome == "not-known" || !aOperation.returned;
    if (!isAnswerUnknown && isAccepted != isAnsweredAccepted) {
      aBreaches.push_back(aOperation.input + " was answered " +
                          aOperation.outcome + " but is " +
                          (isAccepted ? "" : "not ") + "in the table");
    }
    if (isAnsweredAccepted && isAccepted &&
        std::to_string(found->second) != aOperation.output) {
      aBreaches.push_back(aOperation.input + " was answered revision " +
                          aOperation.output + " but is " +
                          std::to_string(found->second));
    }
  }

  static void CheckObservation(const Operation& aOperation,
                               std::map<std::string, std::int64_t>& aHighest,
                               std::vector<std::string>& aBreaches)
  {
    const std::int64_t revision = std::stoll(aOperation.output);
    std::int64_t& highest = aHighest[aOperation.subject];
    if (revision < highest) {
      aBreaches.push_back(aOperation.subject + " went back from revision " +
                          std::to_string(highest) + " to " + aOperation.output);
    }
    highest = std::max(highest, revision);
  }

  std::map<std::string, std::int64_t> revisionByNote;
};

}
