#pragma once

#include "site.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace review {

/** A configuration with one queue, one service and one tenant. */
nlohmann::json
Configuration();

std::string
JobId(int aNumber);

/** Client calls of the cases. */
class Client
{
public:
  explicit Client(Record& aRecord)
    : record(&aRecord)
  {
  }

  /** Hands a job of one task in; true if it was accepted. */
  bool Submit(const Daemon& aDaemon,
              const std::string& aJob,
              int aWorkMs,
              int aAccelerators,
              bool aIsLasting = false);

  /** The number of pending jobs that a host gives; -1 without an answer. */
  int Pending(const Daemon& aDaemon);

private:
  static std::map<std::string, std::string> Fields();

  Record* record;
};

}
