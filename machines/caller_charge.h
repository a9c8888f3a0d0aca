#pragma once

#include "machines/caller_load.h"

#include <cstdint>
#include <utility>

namespace sardinecourse {

/** Charges memory to a CallerLoad for as long as it exists. */
class CallerCharge
{
public:
  /** Charges nothing if aLoad is null. */
  CallerCharge(CallerLoad* aLoad, std::int64_t aBytes)
    : load(aLoad)
    , bytes(aBytes)
  {
    if (this->load != nullptr) {
      this->load->AddHeldBytes(this->bytes);
    }
  }
  CallerCharge(CallerCharge&& aOther) noexcept
    : load(std::exchange(aOther.load, nullptr))
    , bytes(aOther.bytes)
  {
  }
  CallerCharge& operator=(CallerCharge&&) = delete;
  ~CallerCharge()
  {
    if (this->load != nullptr) {
      this->load->AddHeldBytes(-this->bytes);
    }
  }

private:
  CallerLoad* load;
  std::int64_t bytes;
};

}
