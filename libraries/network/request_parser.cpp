#include <network/request_parser.hpp>

namespace berylhill::network
{

namespace http = boost::beast::http;

namespace
{

/// What a field takes beside its bytes.
constexpr std::size_t bytes_per_field = 96;

} // namespace

request_parser::request_parser(server_limits const& limits)
    : m_max_fields{limits.fields}
{
    header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    body_limit(limits.body_bytes);
    eager(true);
}

std::size_t request_parser::held() const
{
    return get().body().capacity() + m_field_bytes;
}

void request_parser::on_field_impl(http::field name,
                                   boost::beast::string_view name_text,
                                   boost::beast::string_view value,
                                   boost::beast::error_code& ec)
{
    if (m_fields == m_max_fields)
    {
        ec = http::error::header_limit;
        return;
    }
    ++m_fields;
    m_field_bytes += bytes_per_field + name_text.size() + value.size();
    get().insert(name, name_text, value);
}

} // namespace berylhill::network
