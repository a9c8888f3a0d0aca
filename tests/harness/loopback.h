#pragma once

#include "core/endpoint.h"

namespace sardinecourse::harness {

/** An endpoint that nothing listens on. Each test process has a loopback
 * address of its own, so tests that run at once never take each other's. */
Endpoint
FreeEndpoint();

}
