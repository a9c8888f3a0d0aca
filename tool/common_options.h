#pragma once

#include "core/endpoint.h"

#include <optional>
#include <popt.h>
#include <string>
#include <vector>

namespace sardinecourse {

class Reason;

/** The options that every verb takes. */
class CommonOptions
{
public:
  /** Refers to this object, which must outlive the parsing. */
  const poptOption* Table() const { return this->table; }

  bool IsJson() const { return this->isJson != 0; }

  /** Daemons to ask, in order: from --daemon, or else from the environment
   * variable SARDINECOURSE_DAEMON. */
  std::optional<std::vector<Endpoint>> Daemons(Reason& aReason) const;

private:
  const char* daemons = nullptr;
  int isJson = 0;
  poptOption table[3] = {
    { "daemon",
      'd',
      POPT_ARG_STRING,
      &this->daemons,
      0,
      "Daemons to ask, in order (or SARDINECOURSE_DAEMON)",
      "IP:PORT[,IP:PORT...]" },
    { "json", 'j', POPT_ARG_NONE, &this->isJson, 0, "Answer in JSON", nullptr },
    POPT_TABLEEND
  };
};

}
