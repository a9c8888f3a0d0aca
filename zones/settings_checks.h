#pragma once

namespace sardinecourse {

class Fleet;
class Reason;

/** True when the racks of each data centre can hold all guarantees of all its
 * teams at once; otherwise the reason names one that they cannot. */
bool
GuaranteesFitEverywhere(const Fleet& aFleet, Reason& aReason);

}
