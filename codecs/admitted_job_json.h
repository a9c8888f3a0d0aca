#pragma once

#include "contracts/admitted_job.h"

#include <optional>
#include <string>

namespace sardinecourse {

class Reason;

/** Encodes an admitted job as the JSON text stored in its row; times are in
 * milliseconds. */
std::string
EncodeAdmittedJob(const AdmittedJob& aJob);

/** Decodes a stored job; empty, with the reason, when the text is not a valid
 * job. */
std::optional<AdmittedJob>
DecodeAdmittedJob(const std::string& aText, Reason& aReason);

}
