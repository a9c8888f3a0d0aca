#pragma once

#include "contracts/admitted_job.h"
#include "core/instant.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace sardinecourse {

/** A job of a modelled stream, with what only the model knows of it. */
struct ModelJob
{
  AdmittedJob job;
  /** Position of its kind in the settings. */
  std::size_t kind = 0;
  /** Since the start of the traffic. */
  Milliseconds at{ 0 };
  /** Run time of each task of each step on a worker of speed 1. */
  std::vector<std::vector<Milliseconds>> work;
  bool isPoisoned = false;
  /** When its caller cancels it, since the start of the traffic. */
  std::optional<Milliseconds> cancelled;
  /** In time when it is done within this. */
  Milliseconds objective{ 0 };
  /** Factor of the kind's credit, by the job's size. */
  double value = 1.0;

  bool operator==(const ModelJob&) const = default;
};

}
