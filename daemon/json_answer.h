#pragma once

#include "links/http_answer.h"

#include <string>
#include <utility>

namespace sardinecourse {

/** An answer with a JSON body. */
inline HttpAnswer
JsonAnswer(int aStatus, std::string aBody)
{
  HttpAnswer answer;
  answer.status = aStatus;
  answer.fields.Add("Content-Type", "application/json");
  answer.body = std::move(aBody);
  return answer;
}

}
