#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace review {

struct ClientAnswer
{
  /** HTTP status; 0 without an answer in time. */
  int status = 0;
  nlohmann::json body;

  std::string State() const
  {
    return this->body.is_object() ? this->body.value("State", "") : "";
  }
};

struct ClientCall
{
  std::string method = "GET";
  std::string path;
  std::string key;
  std::string body;
  /** How long the client waits. */
  std::int64_t waitMs = 3000;
  /** Deadline that the client states; waitMs when it is 0. */
  std::int64_t deadlineMs = 0;
};

/** Sends one call on a new connection and waits for the answer. */
ClientAnswer
SendCall(const std::string& aAddress, const ClientCall& aCall);

}
