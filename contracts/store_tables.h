#pragma once

#include <string>

namespace sardinecourse {

/** Holds the row that names the holder of a scheduling domain. Renewals of the
 * holder's lease must not wait for other transactions, so a store that executes
 * transactions one after the other keeps this table apart, and no transaction
 * spans it and another table. */
inline const std::string kLeaseTable = "lease";

}
