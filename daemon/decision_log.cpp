#include "daemon/decision_log.h"

namespace sardinecourse {

bool
DecisionLog::Add(const JobIdentity& aJob, const std::string& aText)
{
  const auto [found, isNew] = this->jobs.try_emplace(aJob);
  std::deque<std::string>& decisions = found->second;
  if (!decisions.empty() && decisions.back() == aText) {
    return false;
  }
  decisions.push_back(aText);
  if (decisions.size() > kMaxDecisions) {
    decisions.pop_front();
  }
  if (isNew) {
    this->insertionOrder.push_back(aJob);
  }
  if (this->insertionOrder.size() > kMaxJobs) {
    this->jobs.erase(this->insertionOrder.front());
    this->insertionOrder.pop_front();
  }
  return true;
}

std::vector<std::string>
DecisionLog::ForJob(const JobIdentity& aJob) const
{
  const auto found = this->jobs.find(aJob);
  if (found == this->jobs.end()) {
    return {};
  }
  return { found->second.begin(), found->second.end() };
}

}
