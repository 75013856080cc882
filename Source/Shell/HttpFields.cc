#include "Shell/HttpFields.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <array>
#include <string_view>
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

/// Returns the values of the fields of a name.
std::vector<std::string_view> FindFields(evhttp_request* request,
                                         std::string_view name) {
  std::vector<std::string_view> values;
  const evkeyvalq* fields = evhttp_request_get_input_headers(request);
  for (const evkeyval* field = fields->tqh_first; field != nullptr;
       field = field->next.tqe_next) {
    if (EqualsIgnoringCase(field->key, name)) {
      values.emplace_back(field->value);
    }
  }
  return values;
}

/// Returns whether a text has no spaces or control characters.
bool IsGraphic(std::string_view text) {
  constexpr unsigned char kDelete = 0x7F;
  return std::ranges::none_of(text, [](unsigned char letter) {
    return letter <= ' ' || letter == kDelete;
  });
}

bool HasGraphicNames(const evkeyvalq* fields) {
  for (const evkeyval* field = fields->tqh_first; field != nullptr;
       field = field->next.tqe_next) {
    if (!IsGraphic(field->key)) {
      return false;
    }
  }
  return true;
}

bool IsNumber(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, [](char letter) {
    return letter >= '0' && letter <= '9';
  });
}

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

bool IsWellFormed(evhttp_request* request) {
  if (!IsGraphic(evhttp_request_get_uri(request)) ||
      !HasGraphicNames(evhttp_request_get_input_headers(request))) {
    return false;
  }
  const auto lengths = FindFields(request, "Content-Length");
  const auto encodings = FindFields(request, "Transfer-Encoding");
  if (!encodings.empty()) {
    return lengths.empty() && encodings.size() == 1 &&
           EqualsIgnoringCase(encodings.front(), "chunked");
  }
  return std::ranges::all_of(lengths, [&](std::string_view length) {
    return IsNumber(length) && length == lengths.front();
  });
}

bool HasUnreadBody(evhttp_request* request) {
  const evhttp_cmd_type method = evhttp_request_get_command(request);
  if (method == EVHTTP_REQ_POST || method == EVHTTP_REQ_PUT ||
      method == EVHTTP_REQ_PATCH) {
    return false;
  }
  const auto lengths = FindFields(request, "Content-Length");
  return !FindFields(request, "Transfer-Encoding").empty() ||
         (!lengths.empty() && lengths.front() != "0");
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
