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

/** Decides whether this host may still send commands to workers. */
template<typename Fence>
concept CommandFence = requires(const Fence& aFence)
{
  {
    aFence.MayCommand()
    } -> std::same_as<bool>;
};

/** Outcome of a command to one member of a gang. */
struct MemberResult
{
  Task task;
  CommandOutcome outcome = CommandOutcome::kRefused;
  /** False if the worker is unknown or the fence blocked the command. */
  bool isSent = false;
};

/**
 * Sends commands to all members of a gang. The fence is checked before each
 * single command, immediately before it is sent.
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

  /** Starts all members in parallel in the held state; they do not run yet. */
  boost::asio::awaitable<std::vector<MemberResult>> Hold(
    std::vector<Task> aTasks)
  {
    std::vector<MemberResult> results = co_await this->SendToAll(
      std::move(aTasks),
      [this](const Worker& aWorker, const Task& aTask, Reason& aReason) {
        return this->link->Start(aWorker, aTask, aReason);
      });
    co_return results;
  }

  /** Releases all held members in parallel, so that they run. */
  boost::asio::awaitable<std::vector<MemberResult>> Release(
    std::vector<Task> aTasks)
  {
    std::vector<MemberResult> results = co_await this->SendToAll(
      std::move(aTasks),
      [this](const Worker& aWorker, const Task& aTask, Reason& aReason) {
        return this->link->Release(aWorker, aTask.Name(), aReason);
      });
    co_return results;
  }

  /** Stops all members in parallel; workers delete the tasks that have already
   * ended. */
  boost::asio::awaitable<std::vector<MemberResult>> Stop(
    std::vector<Task> aTasks)
  {
    std::vector<MemberResult> results = co_await this->SendToAll(
      std::move(aTasks),
      [this](const Worker& aWorker, const Task& aTask, Reason& aReason) {
        return this->link->Stop(aWorker, aTask.Name(), aReason);
      });
    co_return results;
  }

  /** Checkpoints all members in parallel. Returns the progress, in milliseconds
   * of run time, that every member has saved (the minimum over all members), or
   * zero if any of them did not answer within aGrace. */
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

  boost::asio::awaitable<std::vector<MemberResult>> SendToAll(
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
      calls.push_back(this->SendToOne(result, aCommand));
    }
    co_await WhenAll(*this->context, std::move(calls));
    co_return results;
  }

  boost::asio::awaitable<void> SendToOne(MemberResult& aResult,
                                         const Command& aCommand)
  {
    const Worker* listed = this->find(aResult.task.Range().Worker());
    if (listed == nullptr || !this->fence->MayCommand()) {
      co_return;
    }
    const Worker worker = *listed;
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
    const Worker* listed = this->find(aTask.Range().Worker());
    if (listed == nullptr || !this->fence->MayCommand()) {
      co_return;
    }
    const Worker worker = *listed;
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

/** True if the command took effect on every member. */
inline bool
AllDone(const std::vector<MemberResult>& aResults)
{
  return std::all_of(
    aResults.begin(), aResults.end(), [](const MemberResult& aResult) {
      return aResult.outcome == CommandOutcome::kDone;
    });
}

}
