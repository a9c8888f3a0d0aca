#pragma once

namespace sardinecourse {

class Fleet;

/** Applies a revision of the fleet's settings on this host. */
template<typename Adopter>
concept SettingsAdopter = requires(Adopter& aAdopter, const Fleet& aFleet)
{
  aAdopter.Adopt(aFleet);
};

}
