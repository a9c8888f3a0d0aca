#include "tests/harness/job_history.h"

#include "tests/harness/wait.h"

namespace sardinecourse::harness {

namespace {

constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr int kMaxSubmitAttempts = 20;
constexpr Milliseconds kRetryInterval{ 100 };
/** Time for the holder to acknowledge ended tasks, so that the workers delete
 * them. */
constexpr Milliseconds kAcknowledgeTime{ 1500 };

}

bool
JobHistory::Submit(const std::string& aTeam,
                   const std::string& aKey,
                   int aMembers,
                   int aAccelerators,
                   Milliseconds aRunTime,
                   bool aUrgent)
{
  for (int attempt = 0; attempt < kMaxSubmitAttempts; ++attempt) {
    const int daemon = attempt % this->deployment->Daemons();
    const int status = this->deployment->Submit(
      daemon, aTeam, aKey, aMembers, aAccelerators, aRunTime, aUrgent);
    if (status == kOk || status == kCreated) {
      this->admitted.emplace(aTeam, aKey);
      return true;
    }
    std::this_thread::sleep_for(kRetryInterval);
  }
  return false;
}

std::string
JobHistory::WaitAndCheck(Milliseconds aTimeout, Milliseconds aBound)
{
  JobStates states;
  const auto isFinal = [](const std::string& aState) {
    return aState == "finished" || aState == "failed" || aState == "cancelled";
  };
  const bool isSettled = WaitUntil(aTimeout, [this, &states, &isFinal] {
    for (const auto& [team, key] : this->admitted) {
      std::string& state = states[team + "/" + key];
      if (!isFinal(state)) {
        state = this->deployment->State(team, key);
      }
      if (!isFinal(state)) {
        return false;
      }
    }
    return true;
  });
  std::this_thread::sleep_for(kAcknowledgeTime);
  std::string text;
  if (!isSettled) {
    for (const auto& [job, state] : states) {
      text +=
        isFinal(state) ? "" : "no outcome: " + job + " is " + state + "\n";
    }
  }
  for (const std::string& violation :
       CheckGangs(this->deployment->TaskEvents(), states, aBound)) {
    text += violation + "\n";
  }
  return text;
}

}
