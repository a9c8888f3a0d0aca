#pragma once

#include "codecs/job_json.h"
#include "codecs/refusal.h"
#include "contracts/job_record.h"
#include "core/reason.h"
#include "links/http_answer.h"

#include <string>

namespace sardinecourse {

/** An answer of the job API. aOutcome is "done", "not-run" (nothing was
 * changed, and nothing will be) or "not-known". */
inline HttpAnswer
JobAnswer(int aStatus, const std::string& aOutcome, std::string aBody)
{
  HttpAnswer answer;
  answer.status = aStatus;
  answer.fields.Add("Content-Type", "application/json");
  answer.fields.Add("Sardinecourse-Outcome", aOutcome);
  answer.body = std::move(aBody);
  return answer;
}

/** An error answer with aReason in its body. */
inline HttpAnswer
JobRefusal(int aStatus, const std::string& aOutcome, const Reason& aReason)
{
  return JobAnswer(aStatus, aOutcome, EncodeRefusal(aOutcome, aReason));
}

/** A successful answer with a job's record in its body. */
inline HttpAnswer
JobRecordAnswer(int aStatus, const JobRecord& aRecord)
{
  return JobAnswer(aStatus, "done", EncodeJobRecord(aRecord));
}

}
