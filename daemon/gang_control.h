#pragma once

#include "core/reason.h"
#include "links/when_all.h"
#include "links/worker_link.h"
#include "machines/task.h"
#include "machines/worker.h"

#include <algorithm>
#include <concepts>
#include <functional>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <utility>
#include <vector>

namespace sardinecourse {

/** Tells whether this host may still command workers. */
template<typename Fence>
concept CommandFence = requires(const Fence& aFence)
{
  {
    aFence.MayCommand()
    } -> std::same_as<bool>;
};

/** What came of a command to each member of a gang. */
struct MemberResult
{
  Task task;
  CommandOutcome outcome = CommandOutcome::kRefused;
  /** False when the fence held the command back. */
  bool isSent = false;
};

/**
 * Commands whole gangs. Every single command asks the fence just before it is
 * sent.
 */
template<WorkerLink Link, CommandFence Fence>
class GangControl
{
public:
  using FindWorker = std::function<const Worker*(const WorkerName&)>;

  GangControl(boost::asio::io_context& aContext,
              Link& aLink,
              const Fence& aFence,
              FindWorker aFind)
    : context(&aContext)
    , link(&aLink)
    , fence(&aFence)
    , find(std::move(aFind))
    , logger(log4cplus::Logger::getInstance("gang"))
  {
  }

  /** Starts every member held, all at once. */
  boost::asio::awaitable<std::vector<MemberResult>> Hold(
    std::vector<Task> aTasks)
  {
    std::vector<MemberResult> results = co_await this->Each(
      std::move(aTasks),
      [this](const Worker& aWorker, const Task& aTask, Reason& aReason) {
        return this->link->Start(aWorker, aTask, aReason);
      });
    co_return results;
  }

  /** Releases every member, all at once. */
  boost::asio::awaitable<std::vector<MemberResult>> Release(
    std::vector<Task> aTasks)
  {
    std::vector<MemberResult> results = co_await this->Each(
      std::move(aTasks),
      [this](const Worker& aWorker, const Task& aTask, Reason& aReason) {
        return this->link->Release(aWorker, aTask.Name(), aReason);
      });
    co_return results;
  }

  /** Stops every member, or has the workers forget those that have ended. */
  boost::asio::awaitable<std::vector<MemberResult>> Stop(
    std::vector<Task> aTasks)
  {
    std::vector<MemberResult> results = co_await this->Each(
      std::move(aTasks),
      [this](const Worker& aWorker, const Task& aTask, Reason& aReason) {
        return this->link->Stop(aWorker, aTask.Name(), aReason);
      });
    co_return results;
  }

  /** Progress that every member saved: the least of them, and nothing unless
   * all answered within the grace. */
  boost::asio::awaitable<Milliseconds> Checkpoint(std::vector<Task> aTasks,
                                                  Milliseconds aGrace)
  {
    std::vector<Milliseconds> saved(aTasks.size(), Milliseconds(0));
    std::vector<boost::asio::awaitable<void>> calls;
    for (std::size_t index = 0; index < aTasks.size(); ++index) {
      calls.push_back(this->CheckpointOne(aTasks[index], aGrace, saved[index]));
    }
    co_await WhenAll(*this->context, std::move(calls));
    co_return saved.empty() ? Milliseconds(0)
                            : *std::min_element(saved.begin(), saved.end());
  }

private:
  using Command =
    std::function<boost::asio::awaitable<CommandOutcome>(const Worker&,
                                                         const Task&,
                                                         Reason&)>;

  boost::asio::awaitable<std::vector<MemberResult>> Each(
    std::vector<Task> aTasks,
    Command aCommand)
  {
    std::vector<MemberResult> results;
    results.reserve(aTasks.size());
    for (Task& task : aTasks) {
      results.push_back({ std::move(task), CommandOutcome::kRefused, false });
    }
    std::vector<boost::asio::awaitable<void>> calls;
    calls.reserve(results.size());
    for (MemberResult& result : results) {
      calls.push_back(this->One(result, aCommand));
    }
    co_await WhenAll(*this->context, std::move(calls));
    co_return results;
  }

  boost::asio::awaitable<void> One(MemberResult& aResult,
                                   const Command& aCommand)
  {
    const Worker* known = this->find(aResult.task.Range().Worker());
    if (known == nullptr || !this->fence->MayCommand()) {
      co_return;
    }
    const Worker worker = *known;
    Reason reason;
    aResult.isSent = true;
    aResult.outcome = co_await aCommand(worker, aResult.task, reason);
    if (aResult.outcome != CommandOutcome::kDone) {
      LOG4CPLUS_WARN(this->logger,
                     "command failed task="
                       << aResult.task.Name().Text() << " worker="
                       << worker.Name().Text() << " " << reason.Message());
    }
  }

  boost::asio::awaitable<void> CheckpointOne(Task aTask,
                                             Milliseconds aGrace,
                                             Milliseconds& aSaved)
  {
    const Worker* known = this->find(aTask.Range().Worker());
    if (known == nullptr || !this->fence->MayCommand()) {
      co_return;
    }
    const Worker worker = *known;
    Reason reason;
    const std::optional<Milliseconds> saved =
      co_await this->link->Checkpoint(worker, aTask.Name(), aGrace, reason);
    if (saved) {
      aSaved = *saved;
      co_return;
    }
    LOG4CPLUS_WARN(this->logger,
                   "checkpoint failed task=" << aTask.Name().Text() << " "
                                             << reason.Message());
  }

  boost::asio::io_context* context;
  Link* link;
  const Fence* fence;
  FindWorker find;
  log4cplus::Logger logger;
};

/** True when the command took effect on every member. */
inline bool
AllDone(const std::vector<MemberResult>& aResults)
{
  return std::all_of(
    aResults.begin(), aResults.end(), [](const MemberResult& aResult) {
      return aResult.outcome == CommandOutcome::kDone;
    });
}

}
