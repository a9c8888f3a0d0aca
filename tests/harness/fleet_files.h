#pragma once

#include <string>

namespace sardinecourse {
class Fleet;
class HostSettings;
}

namespace sardinecourse::harness {

/** Encodes a fleet as YAML settings in the format that operators write. */
std::string
FleetYaml(const Fleet& aFleet);

/** Encodes the settings of one host as YAML. */
std::string
HostSettingsYaml(const HostSettings& aSettings);

}
