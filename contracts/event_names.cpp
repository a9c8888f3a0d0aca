#include "contracts/event_names.h"

namespace sardinecourse {

std::string_view
JobCallName(JobCall::Kind aKind)
{
  switch (aKind) {
    case JobCall::Kind::kSubmit:
      return "submit";
    case JobCall::Kind::kShow:
      return "show";
    case JobCall::Kind::kCancel:
      return "cancel";
    case JobCall::Kind::kOther:
      return "other";
  }
  return "other";
}

std::string_view
JobReplyName(JobReply::Kind aKind)
{
  switch (aKind) {
    case JobReply::Kind::kAccepted:
      return "accepted";
    case JobReply::Kind::kState:
      return "state";
    case JobReply::Kind::kCancelled:
      return "cancelled";
    case JobReply::Kind::kPending:
      return "pending";
    case JobReply::Kind::kNoQueue:
      return "no_queue";
    case JobReply::Kind::kNoJob:
      return "no_job";
    case JobReply::Kind::kUnknownKey:
      return "unknown_key";
    case JobReply::Kind::kMalformed:
      return "malformed";
    case JobReply::Kind::kNotRun:
      return "not_run";
    case JobReply::Kind::kNotKnown:
      return "not_known";
  }
  return "not_known";
}

std::string_view
RunOutcomeName(RunOutcome aOutcome)
{
  switch (aOutcome) {
    case RunOutcome::kDone:
      return "done";
    case RunOutcome::kFailed:
      return "failed";
    case RunOutcome::kStopped:
      return "stopped";
    case RunOutcome::kLeaseExpired:
      return "lapsed";
    case RunOutcome::kBroken:
      return "broken";
    case RunOutcome::kGangIncomplete:
      return "alone";
  }
  return "stopped";
}

}
