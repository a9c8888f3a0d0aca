#pragma once

#include "core/endpoint.h"

#include <optional>
#include <popt.h>
#include <string>
#include <vector>

namespace sardinecourse {

class Reason;

/** Options that every verb accepts. */
class CommonOptions
{
public:
  /** The popt table. It points into this object, which must outlive the
   * parsing. */
  const poptOption* Table() const { return this->table; }

  bool IsJson() const { return this->isJson != 0; }

  /** Daemons to try, in order, from --daemon or else from the environment
   * variable SARDINECOURSE_DAEMON. Empty, with a reason, when neither is set or
   * an address is invalid. */
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
      "Daemons to try, in order (or SARDINECOURSE_DAEMON)",
      "IP:PORT[,IP:PORT...]" },
    { "json", 'j', POPT_ARG_NONE, &this->isJson, 0, "Print JSON", nullptr },
    POPT_TABLEEND
  };
};

}
