#pragma once

#include <network/server_limits.hpp>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>

namespace berylhill::network
{

/// Parses one request, all of it in one pass, within the limits of a server.
/// The library's own parser bounds the header and the body, but not the number
/// of fields.
class request_parser final
    : public boost::beast::http::request_parser<boost::beast::http::string_body>
{
public:
    explicit request_parser(server_limits const& limits);

    /// The memory that the parts read so far take, in bytes.
    [[nodiscard]] std::size_t held() const;

private:
    void on_field_impl(boost::beast::http::field name,
                       boost::beast::string_view name_text,
                       boost::beast::string_view value,
                       boost::beast::error_code& ec) override;

    std::size_t m_max_fields;
    std::size_t m_fields{0};
    std::size_t m_field_bytes{0};
};

} // namespace berylhill::network
