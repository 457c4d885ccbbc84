#include <entry/http_router.hpp>

#include <base/log.hpp>
#include <entry/http_problem.hpp>

#include <algorithm>
#include <exception>
#include <utility>

namespace berylhill::entry
{

namespace
{

constexpr unsigned s_ok = 200;
constexpr unsigned s_not_found = 404;
constexpr unsigned s_target_too_long = 414;
constexpr unsigned s_failed = 500;

/// The library that matches paths takes stack for each byte of them.
constexpr std::size_t s_longest_target = 8'192;

calls::refusal malformed(std::string reason)
{
    return {calls::ran::not_run, calls::refusal_code::malformed,
            std::move(reason), 0};
}

std::string path_of(std::string const& target)
{
    return httplib::detail::decode_url(target.substr(0, target.find('?')),
                                       false);
}

char const* name_of(network::http_method it)
{
    return it == network::http_method::post ? "POST" : "GET";
}

httplib::Request request_of(network::http_request const& it)
{
    httplib::Request out;
    out.method = name_of(it.method);
    out.target = it.target;
    out.path = path_of(it.target);
    out.body = it.body;
    for (auto const& field : it.fields)
    {
        out.headers.emplace(field.name, field.value);
    }
    if (auto const query = it.target.find('?'); query != std::string::npos)
    {
        httplib::detail::parse_query_text(it.target.substr(query + 1),
                                          out.params);
    }
    return out;
}

network::http_response response_of(httplib::Response&& it)
{
    network::http_response out;
    out.status = it.status < 0 ? s_ok : static_cast<unsigned>(it.status);
    for (auto const& [name, value] : it.headers)
    {
        if (name == "Content-Type")
        {
            out.content_type = value;
        }
        else if (name != "Content-Length")
        {
            out.fields.push_back({name, value});
        }
    }
    out.body = std::move(it.body);
    return out;
}

} // namespace

void http_router::get(std::string const& pattern, handler run, handled where)
{
    m_routes.push_back({network::http_method::get, std::regex{pattern},
                        std::move(run), where});
}

void http_router::post(std::string const& pattern, handler run)
{
    m_routes.push_back({network::http_method::post, std::regex{pattern},
                        std::move(run), handled::by_thread});
}

bool http_router::answers_at_once(network::http_request const& it) const
{
    if (it.target.size() > s_longest_target)
    {
        return true;
    }
    auto const* const found = find(it.method, path_of(it.target));
    return found == nullptr || found->where == handled::at_once;
}

network::http_response
http_router::answer(network::http_request const& it) const
{
    if (it.target.size() > s_longest_target)
    {
        return problem_response(s_target_too_long,
                                malformed("the target is too long"));
    }
    auto request = request_of(it);
    auto const* const found = find(it.method, request.path);
    if (found == nullptr)
    {
        return problem_response(
            s_not_found, malformed("no such path, or not by this method"));
    }
    std::regex_match(request.path, request.matches, found->pattern);
    httplib::Response out;
    try
    {
        found->run(request, out);
    }
    catch (std::exception const& failed)
    {
        // One that leaves a thread ends the process.
        base::log(base::log_level::error, "request_failed",
                  {{"path", request.path}, {"error", failed.what()}});
        return problem_response(s_failed, {calls::ran::unknown,
                                           calls::refusal_code::outcome_unknown,
                                           "the request failed", 0});
    }
    return response_of(std::move(out));
}

http_router::route const* http_router::find(network::http_method method,
                                            std::string const& path) const
{
    auto const at = std::ranges::find_if(
        m_routes, [&](route const& it)
        { return it.method == method && std::regex_match(path, it.pattern); });
    return at == m_routes.end() ? nullptr : &*at;
}

} // namespace berylhill::entry
