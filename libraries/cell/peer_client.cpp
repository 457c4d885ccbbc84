#include <cell/peer_client.hpp>

#include <base/log.hpp>
#include <cell/compressed_text.hpp>
#include <cell/peer_paths.hpp>

#include <utility>

namespace berylhill::cell
{

namespace
{

constexpr unsigned status_ok = 200;

/// The other process is not the owner and has done nothing.
constexpr unsigned status_conflict = 409;

/// Timeout of an announcement; processes that miss it learn of the owner from
/// the log.
constexpr base::duration announce_timeout = std::chrono::milliseconds{500};

/// Size limit of a decompressed configuration.
constexpr std::size_t max_configuration_bytes = std::size_t{16} * 1024 * 1024;

base::result<configuration_record>
parse_packed_configuration(std::string_view body)
{
    BOOST_LEAF_AUTO(text, decompressed(body, max_configuration_bytes));
    return parse_configuration(text);
}

template <class Answer, class Parse>
peer_result<Answer> read_answer(network::call_result const& it, Parse parse)
{
    peer_result<Answer> out{it.end, it.refused, std::nullopt, it.received,
                            it.sent_before};
    if (it.end != network::call_end::answered)
    {
        return out;
    }
    if (it.response.status == status_conflict ||
        it.response.status == peer_paths::status_busy)
    {
        out.end = it.sent_before ? network::call_end::unanswered
                                 : network::call_end::not_sent;
        return out;
    }
    auto const read = base::capture([&] { return parse(it.response.body); });
    if (it.response.status != status_ok || !read)
    {
        base::log(base::log_level::warning, "peer_answer_unreadable",
                  {{"status", it.response.status}});
        out.end = network::call_end::unanswered;
        return out;
    }
    out.answer = read.value();
    return out;
}

} // namespace

peer_client::peer_client(network::http_client& client)
    : m_client{client}
{
}

void peer_client::send(network::socket_address const& to,
                       std::string target,
                       std::string body,
                       network::call_patience const& patience,
                       network::call_handler done)
{
    m_client.call(to,
                  {network::http_method::post,
                   std::move(target),
                   {},
                   std::move(body),
                   "application/json"},
                  patience, std::move(done));
}

void peer_client::watch(network::socket_address const& to,
                        watch_request const& question,
                        base::duration wait,
                        base::duration timeout,
                        std::function<void(peer_result<watch_answer>)> done)
{
    auto const target = std::string{peer_paths::watch} +
                        "?wait_us=" + std::to_string(wait.count());
    send(to, target, text_of(question), timeout,
         [done = std::move(done)](network::call_result const& it)
         { done(read_answer<watch_answer>(it, parse_watch)); });
}

void peer_client::announce(network::socket_address const& to,
                           owner_view const& it)
{
    send(to, std::string{peer_paths::owner}, text_of(it), announce_timeout,
         [to](network::call_result const& result)
         {
             if (result.end != network::call_end::answered)
             {
                 base::log(base::log_level::info, "announcement_unanswered",
                           {{"peer", text_of(to)}});
             }
         });
}

void peer_client::configuration(
    network::socket_address const& to,
    network::call_patience const& patience,
    std::function<void(peer_result<configuration_record>)> done)
{
    m_client.call(
        to,
        {network::http_method::post,
         std::string{peer_paths::configuration},
         {{peer_paths::accept_encoding, peer_paths::compressed_encoding}},
         "{}",
         "application/json"},
        patience,
        [done = std::move(done)](network::call_result const& it)
        {
            auto const is_packed =
                network::field_of(it.response.fields,
                                  peer_paths::content_encoding) ==
                peer_paths::compressed_encoding;
            done(read_answer<configuration_record>(
                it,
                is_packed ? parse_packed_configuration : parse_configuration));
        });
}

void peer_client::call(network::socket_address const& to,
                       job_call const& it,
                       base::duration timeout,
                       std::function<void(peer_result<job_answer>)> done)
{
    send(to, std::string{peer_paths::job}, text_of(it), timeout,
         [done = std::move(done)](network::call_result const& result)
         { done(read_answer<job_answer>(result, parse_job_answer)); });
}

void peer_client::advise(network::socket_address const& to,
                         workload::step_name const& step,
                         std::vector<std::string> const& instances,
                         base::duration timeout,
                         advice_handler done)
{
    send(to, std::string{peer_paths::advise},
         text_of(advice_request{text_of(step), instances, timeout}), timeout,
         [done = std::move(done)](network::call_result const& result)
         {
             auto const read =
                 read_answer<advice_result>(result, parse_advice_result);
             done(read.answer.value_or(advice_result{}));
         });
}

} // namespace berylhill::cell
