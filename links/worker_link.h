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
 * Commands to the platform's workers, for the holder's loops.
 * Renew() renews the leases of all tasks of a worker for aLength, if aVersion
 * is the version of its task list, and returns the changes since aVersion.
 * Start() starts a task in the held state, in which it is throttled until
 * Release(). Stop() stops a task, or removes an ended one from the worker's
 * list. Checkpoint() waits up to aLength for a checkpoint and returns the saved
 * progress. Renew() and Checkpoint() are empty, with the reason, on a failure.
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
