#include <network/beast_fields.hpp>

namespace berylhill::network
{

namespace http = boost::beast::http;

namespace
{

template <class Fields>
std::vector<http_field> fields_of(Fields const& from)
{
    std::vector<http_field> out;
    for (auto const& it : from)
    {
        out.push_back({std::string{it.name_string()}, std::string{it.value()}});
    }
    return out;
}

} // namespace

http::verb verb_of(http_method it)
{
    switch (it)
    {
    case http_method::post:
        return http::verb::post;
    case http_method::remove:
        return http::verb::delete_;
    case http_method::get:
    case http_method::other:
        return http::verb::get;
    }
    return http::verb::get;
}

http_method method_of(http::verb it)
{
    switch (it)
    {
    case http::verb::get:
        return http_method::get;
    case http::verb::post:
        return http_method::post;
    case http::verb::delete_:
        return http_method::remove;
    default:
        return http_method::other;
    }
}

http_response response_of(http::response<http::string_body>&& it)
{
    http_response out;
    out.status = it.result_int();
    out.fields = fields_of(it);
    out.content_type = std::string{it[http::field::content_type]};
    out.body = std::move(it.body());
    return out;
}

http_request request_of(http::request<http::string_body>&& it)
{
    http_request out;
    out.method = method_of(it.method());
    out.target = std::string{it.target()};
    out.fields = fields_of(it);
    out.content_type = std::string{it[http::field::content_type]};
    out.body = std::move(it.body());
    return out;
}

} // namespace berylhill::network
