#include "Shell/HttpFields.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#include <array>
#include <utility>

#include "Base/Text.h"

namespace filbertwall {
namespace {

constexpr std::array<std::pair<evhttp_cmd_type, const char*>, 8> kMethods = {{
    {EVHTTP_REQ_GET, "GET"},
    {EVHTTP_REQ_POST, "POST"},
    {EVHTTP_REQ_HEAD, "HEAD"},
    {EVHTTP_REQ_PUT, "PUT"},
    {EVHTTP_REQ_DELETE, "DELETE"},
    {EVHTTP_REQ_OPTIONS, "OPTIONS"},
    {EVHTTP_REQ_TRACE, "TRACE"},
    {EVHTTP_REQ_PATCH, "PATCH"},
}};

}  // namespace

std::string ExtractBody(evbuffer* buffer) {
  std::string body(evbuffer_get_length(buffer), '\0');
  evbuffer_remove(buffer, body.data(), body.size());
  return body;
}

bool IsEndToEnd(const std::string& name) {
  // Fields of RFC 9110 section 7.6.1, and Content-Length, which is recomputed.
  constexpr std::array<const char*, 9> kNotForwarded = {
      "Connection", "Keep-Alive",     "Proxy-Connection",
      "TE",         "Trailer",        "Upgrade",
      "Expect",     "Content-Length", "Transfer-Encoding"};
  for (const char* field : kNotForwarded) {
    if (EqualsIgnoringCase(name, field)) {
      return false;
    }
  }
  return true;
}

std::vector<wire::HeaderField> ReadEndToEndFields(const evkeyvalq* fields) {
  std::vector<wire::HeaderField> copies;
  for (const evkeyval* field = fields->tqh_first; field != nullptr;
       field = field->next.tqe_next) {
    if (IsEndToEnd(field->key)) {
      wire::HeaderField& copy = copies.emplace_back();
      copy.set_name(field->key);
      copy.set_value(field->value);
    }
  }
  return copies;
}

std::string MethodName(evhttp_cmd_type method) {
  for (const auto& [type, name] : kMethods) {
    if (type == method) {
      return name;
    }
  }
  return "";
}

evhttp_cmd_type MethodFromName(const std::string& name) {
  for (const auto& [type, text] : kMethods) {
    if (name == text) {
      return type;
    }
  }
  return EVHTTP_REQ_GET;
}

}  // namespace filbertwall
