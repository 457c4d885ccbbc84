#include <cell/peer_service.hpp>

#include <base/log.hpp>
#include <cell/peer_paths.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace berylhill::cell
{

namespace
{

constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_conflict = 409;

/// A process that has not asked for this long, the time of several watches, is
/// not considered live.
constexpr base::duration watcher_retention = std::chrono::milliseconds{1'200};

/// Names of other processes that are kept: more than any cell has, and few
/// enough to hold where somebody makes them up.
constexpr std::size_t max_watchers = 4'096;

/// How often the list of watchers is updated.
constexpr base::duration list_pause = std::chrono::milliseconds{250};

/// How often open watches are checked for expiry.
constexpr base::duration tick = std::chrono::milliseconds{25};

/// Upper limit of the time that a watch is kept open.
constexpr base::duration max_watch_wait = std::chrono::seconds{2};

base::duration wait_in(std::string_view target)
{
    constexpr std::string_view name = "?wait_us=";
    auto const at = target.find(name);
    if (at == std::string_view::npos)
    {
        return base::duration{0};
    }
    auto const digits = target.substr(at + name.size());
    std::int64_t out = 0;
    auto const read =
        std::from_chars(digits.data(), digits.data() + digits.size(), out);
    if (read.ec != std::errc{} || out < 0)
    {
        return base::duration{0};
    }
    return std::min(max_watch_wait, base::duration{out});
}

void refuse(network::responder const& answer, base::failure const& why)
{
    base::log(base::log_level::warning, "peer_call_unreadable",
              {{"error", why.message}});
    answer({status_bad_request, {}, {}});
}

} // namespace

peer_service::peer_service(boost::asio::io_context& loop,
                           base::clock const& clock,
                           backend& behind)
    : m_loop{loop}
    , m_clock{clock}
    , m_backend{behind}
    , m_timer{loop}
{
    every_tick();
}

peer_service::~peer_service()
{
    m_timer.cancel();
}

void peer_service::handle(network::http_request const& it,
                          network::responder answer)
{
    auto const path =
        std::string_view{it.target}.substr(0, it.target.find('?'));
    if (path == peer_paths::watch)
    {
        watch(it, std::move(answer));
        return;
    }
    if (path == peer_paths::job)
    {
        job(it, std::move(answer));
        return;
    }
    if (path == peer_paths::advise)
    {
        advise(it, std::move(answer));
        return;
    }
    if (path == peer_paths::configuration)
    {
        configuration(it, answer);
        return;
    }
    if (path == peer_paths::owner)
    {
        owner(it, std::move(answer));
        return;
    }
    answer({status_not_found, {}, {}});
}

void peer_service::watch(network::http_request const& it,
                         network::responder answer)
{
    auto const from =
        base::capture([&] { return parse_watch_request(it.body); });
    if (!from)
    {
        refuse(answer, from.error());
        return;
    }
    auto const now = m_clock.now();
    if (m_seen.size() < max_watchers || m_seen.contains(from.value().from))
    {
        m_seen[from.value().from] = now;
    }
    m_backend.on_version_reported(from.value().configuration.version,
                                  from.value().from.address);
    m_backend.on_evidence_reported(from.value().from, from.value().store);
    auto const wait = wait_in(it.target);
    if (wait.count() == 0 || !m_backend.owns())
    {
        answer(watch_response(from.value()));
        return;
    }
    m_watches.push_back({std::move(answer), now + wait, from.value()});
}

/// Sends the configuration, uncompressed to a process that runs a release
/// without compression.
void peer_service::configuration(network::http_request const& it,
                                 network::responder const& answer)
{
    if (network::field_of(it.fields, peer_paths::accept_encoding) !=
        peer_paths::compressed_encoding)
    {
        answer({status_ok, {}, text_of(m_backend.configuration())});
        return;
    }
    auto copy = m_backend.compressed_configuration();
    if (!copy)
    {
        answer({peer_paths::status_busy, {}, {}});
        return;
    }
    answer({status_ok,
            {{peer_paths::content_encoding, peer_paths::compressed_encoding}},
            std::move(*copy),
            "application/octet-stream"});
}

void peer_service::job(network::http_request const& it,
                       network::responder answer)
{
    if (!m_backend.serves())
    {
        answer({status_conflict, {}, {}});
        return;
    }
    auto const call = base::capture([&] { return parse_job_call(it.body); });
    if (!call)
    {
        refuse(answer, call.error());
        return;
    }
    m_backend.call_owner(call.value(),
                         [answer = std::move(answer)](job_answer const& end) {
                             answer({status_ok, {}, text_of(end)});
                         });
}

void peer_service::advise(network::http_request const& it,
                          network::responder answer)
{
    auto const question =
        base::capture([&] { return parse_advice_request(it.body); });
    if (!question)
    {
        refuse(answer, question.error());
        return;
    }
    m_backend.advise(question.value(),
                     [answer = std::move(answer)](advice_result const& end) {
                         answer({status_ok, {}, text_of(end)});
                     });
}

void peer_service::owner(network::http_request const& it,
                         network::responder answer)
{
    auto const read = base::capture([&] { return parse_owner(it.body); });
    if (!read)
    {
        refuse(answer, read.error());
        return;
    }
    answer({status_ok, {}, "{}"});
    m_backend.on_owner_reported(read.value());
}

network::http_response peer_service::watch_response(watch_request const& to)
{
    auto out = m_backend.view();
    if (m_backend.owns())
    {
        refresh_watchers();
        out.watchers = m_list.size();
        auto const& named = m_list.known_to(to.from);
        out.peers.digest = named.digest;
        if (named.digest != to.known)
        {
            out.peers = named;
        }
    }
    return {status_ok, {}, text_of(out)};
}

void peer_service::refresh_watchers()
{
    auto const now = m_clock.now();
    if (now >= m_next_list)
    {
        m_next_list = now + list_pause;
        m_list.set(watchers());
    }
}

/// Returns the time after which a process that has not asked is not considered
/// live.
base::duration peer_service::watcher_lifetime() const
{
    return watcher_retention + watch_wait(m_seen.size()) - watch_wait(0);
}

void peer_service::wake()
{
    auto const open = std::exchange(m_watches, {});
    for (auto const& it : open)
    {
        it.answer(watch_response(it.from));
    }
}

void peer_service::wake(peer const& it)
{
    auto const at = std::ranges::find(m_watches, it,
                                      [](auto const& each) -> peer const&
                                      { return each.from.from; });
    if (at != m_watches.end())
    {
        auto const open = std::move(*at);
        m_watches.erase(at);
        open.answer(watch_response(open.from));
    }
}

std::vector<peer> peer_service::watchers() const
{
    auto const now = m_clock.now();
    auto const longest = watcher_lifetime();
    std::vector<peer> out;
    for (auto const& [it, seen] : m_seen)
    {
        if (now - seen < longest)
        {
            out.push_back(it);
        }
    }
    return out;
}

void peer_service::every_tick()
{
    m_timer.expires_after(tick);
    m_timer.async_wait(
        [this](auto ec)
        {
            if (ec)
            {
                return;
            }
            auto const now = m_clock.now();
            while (!m_watches.empty() && now >= m_watches.front().until)
            {
                auto const it = std::move(m_watches.front());
                m_watches.pop_front();
                it.answer(watch_response(it.from));
            }
            std::erase_if(m_seen, [&](auto const& it)
                          { return now - it.second > 10 * watcher_retention; });
            every_tick();
        });
}

} // namespace berylhill::cell
