#pragma once

namespace sardinecourse {

class Fleet;

/** Puts a revision of the fleet's settings in force on this host. */
template<typename Adopter>
concept SettingsAdopter = requires(Adopter& aAdopter, const Fleet& aFleet)
{
  aAdopter.Adopt(aFleet);
};

}
