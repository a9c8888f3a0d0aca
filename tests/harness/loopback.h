#pragma once

#include "core/endpoint.h"

namespace sardinecourse::harness {

/** Returns an endpoint that nothing listens on. The loopback address is derived
 * from the process id, so that tests running at the same time do not collide.
 */
Endpoint
FreeEndpoint();

}
