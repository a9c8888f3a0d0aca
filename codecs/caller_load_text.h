#pragma once

#include <string>

namespace sardinecourse {

class CallerLoad;

/** What callers hold and what was refused to them, in the Prometheus text
 * format. */
std::string
CallerLoadText(const CallerLoad& aLoad);

}
