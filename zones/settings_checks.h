#pragma once

namespace sardinecourse {

class Fleet;
class Reason;

/** True when the racks of each data centre have capacity for the guarantees of
 * all its teams at once; otherwise aReason names a guarantee that does not fit.
 */
bool
GuaranteesFitEverywhere(const Fleet& aFleet, Reason& aReason);

}
