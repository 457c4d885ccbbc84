#pragma once

#include <network/http_message.hpp>

#include <boost/beast/http.hpp>

namespace berylhill::network
{

/// Between the library's messages and ours; used inside this folder only.

[[nodiscard]] boost::beast::http::verb verb_of(http_method it);

[[nodiscard]] http_method method_of(boost::beast::http::verb it);

[[nodiscard]] http_response
response_of(boost::beast::http::response<boost::beast::http::string_body>&& it);

[[nodiscard]] http_request
request_of(boost::beast::http::request<boost::beast::http::string_body>&& it);

} // namespace berylhill::network
