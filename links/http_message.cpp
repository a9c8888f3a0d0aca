#include "links/http_message.h"

#include <utility>

namespace sardinecourse {

namespace http = boost::beast::http;

namespace {

/** True for hop-by-hop fields (RFC 9110, section 7.6.1) and for the content
 * length, which is set anew for each message. */
bool
IsHopByHop(http::field aField)
{
  switch (aField) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::content_length:
      return true;
    default:
      return false;
  }
}

HttpFields
EndToEndFields(const http::fields& aFields)
{
  HttpFields fields;
  for (const auto& field : aFields) {
    if (!IsHopByHop(field.name())) {
      fields.Add(std::string(field.name_string()), std::string(field.value()));
    }
  }
  return fields;
}

void
CopyFields(const HttpFields& aFields, http::fields& aTarget)
{
  for (const HttpField& field : aFields) {
    aTarget.insert(field.name, field.value);
  }
}

}

HttpRequest
FromMessage(http::request<http::string_body>&& aMessage)
{
  HttpRequest request;
  request.method = std::string(aMessage.method_string());
  request.target = std::string(aMessage.target());
  request.fields = EndToEndFields(aMessage);
  request.body = std::move(aMessage.body());
  return request;
}

HttpAnswer
FromMessage(http::response<http::string_body>&& aMessage)
{
  HttpAnswer answer;
  answer.status = static_cast<int>(aMessage.result_int());
  answer.fields = EndToEndFields(aMessage);
  answer.body = std::move(aMessage.body());
  return answer;
}

http::request<http::string_body>
ToMessage(const HttpRequest& aRequest)
{
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(aRequest.method);
  message.target(aRequest.target);
  CopyFields(aRequest.fields, message);
  message.body() = aRequest.body;
  message.prepare_payload();
  return message;
}

http::response<http::string_body>
ToMessage(HttpAnswer&& aAnswer)
{
  http::response<http::string_body> message;
  message.version(11);
  message.result(static_cast<unsigned>(aAnswer.status));
  CopyFields(aAnswer.fields, message);
  message.body() = std::move(aAnswer.body);
  message.prepare_payload();
  return message;
}

}
