#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "links/command_outcome.h"
#include "machines/task_list.h"

#include <boost/asio/awaitable.hpp>
#include <concepts>
#include <cstdint>
#include <optional>

namespace sardinecourse {

class Reason;
class Worker;

/**
 * Commands to the platform's workers, as the holder's loops use them.
 * Renew renews the leases of all tasks of a worker, if aVersion is the version
 * of its task list, and gives what changed since aVersion. Start starts a task
 * held. Stop stops a task, or makes the worker forget one that has ended.
 * Checkpoint gives the progress saved.
 */
template<typename Link>
concept WorkerLink = requires(Link& aLink,
                              const Worker& aWorker,
                              const Task& aTask,
                              const TaskName& aName,
                              Milliseconds aLength,
                              std::int64_t aVersion,
                              Reason& aReason)
{
  {
    aLink.Renew(aWorker, aLength, aVersion, aReason)
    } -> std::same_as<boost::asio::awaitable<std::optional<TaskList>>>;
  {
    aLink.Start(aWorker, aTask, aReason)
    } -> std::same_as<boost::asio::awaitable<CommandOutcome>>;
  {
    aLink.Release(aWorker, aName, aReason)
    } -> std::same_as<boost::asio::awaitable<CommandOutcome>>;
  {
    aLink.Stop(aWorker, aName, aReason)
    } -> std::same_as<boost::asio::awaitable<CommandOutcome>>;
  {
    aLink.Checkpoint(aWorker, aName, aLength, aReason)
    } -> std::same_as<boost::asio::awaitable<std::optional<Milliseconds>>>;
};

}
