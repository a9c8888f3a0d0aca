#pragma once

#include <string>

namespace review {

/** A loopback IP address that no other process of a case uses. */
std::string
NextLoopbackIp();

}
