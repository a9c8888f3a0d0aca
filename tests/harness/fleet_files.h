#pragma once

#include <string>

namespace sardinecourse {
class Fleet;
class HostSettings;
}

namespace sardinecourse::harness {

/** YAML of the fleet's settings, as an operator would write it. */
std::string
FleetYaml(const Fleet& aFleet);

/** YAML of one host's own settings. */
std::string
HostSettingsYaml(const HostSettings& aSettings);

}
