#include "instance_link.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <utility>

namespace berylhill::review
{

namespace
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

/// From a report of an end until the crash, and from the crash until the
/// instance is back.
constexpr milliseconds crash_pause{20};
constexpr milliseconds down_time_of_crash{100};

asio::ip::tcp::endpoint local_endpoint(std::uint16_t port)
{
    return {asio::ip::make_address_v4("127.0.0.1"), port};
}

} // namespace

/// A connection of a process, and the one to the instance that belongs to it.
struct instance_link::pair
{
    pair(asio::io_context& loop, tcp::socket from)
        : caller{std::move(from)}
        , called{loop}
    {
    }

    void close()
    {
        boost::system::error_code ec;
        caller.close(ec);
        called.close(ec);
    }

    tcp::socket caller;
    tcp::socket called;
    std::array<char, 16'384> asked{};
    std::array<char, 16'384> answered{};
};

instance_link::instance_link(bed& on, std::size_t instance, std::uint16_t at)
    : m_bed{on}
    , m_instance{instance}
    , m_acceptor{on.loop, local_endpoint(at)}
    , m_timer{on.loop}
    , m_entry_timer{on.loop}
{
    accept();
}

instance_link::~instance_link() = default;

instance_link::tcp::endpoint instance_link::instance_endpoint() const
{
    return local_endpoint(m_bed.port_of_instance(m_instance));
}

void instance_link::crash(milliseconds down_time)
{
    auto& it = *m_bed.instances[m_instance];
    m_bed.note(it.id() + " crashes and is back under its id after " +
               std::to_string(down_time.count()) + " ms");
    m_crashed = true;
    it.restart(it.id());
    m_entry_timer.expires_after(down_time + m_entry_delay);
    m_entry_timer.async_wait(
        [this](auto ec)
        {
            if (!ec)
            {
                m_bed.announce(m_instance);
            }
        });
    m_down_until = std::chrono::steady_clock::now() + down_time;
    for (auto const& known : m_connections)
    {
        if (auto const at = known.lock())
        {
            at->close();
        }
    }
    m_connections.clear();
}

void instance_link::accept()
{
    m_acceptor.async_accept(
        [this](auto ec, tcp::socket socket)
        {
            if (ec == asio::error::operation_aborted)
            {
                return;
            }
            if (!ec)
            {
                begin(std::make_shared<pair>(m_bed.loop, std::move(socket)));
            }
            accept();
        });
}

void instance_link::begin(pair_pointer const& it)
{
    if (std::chrono::steady_clock::now() < m_down_until)
    {
        it->close();
        return;
    }
    m_connections.push_back(it);
    it->called.async_connect(instance_endpoint(),
                             [this, it](auto ec)
                             {
                                 if (ec)
                                 {
                                     it->close();
                                     return;
                                 }
                                 pass_requests(it);
                                 pass_answers(it);
                             });
}

void instance_link::pass_requests(pair_pointer const& it)
{
    it->caller.async_read_some(
        asio::buffer(it->asked),
        [this, it](auto ec, std::size_t n)
        {
            if (ec)
            {
                it->close();
                return;
            }
            asio::async_write(it->called, asio::buffer(it->asked, n),
                              [this, it](auto failed, std::size_t)
                              { failed ? it->close() : pass_requests(it); });
        });
}

void instance_link::pass_answers(pair_pointer const& it)
{
    it->called.async_read_some(
        asio::buffer(it->answered),
        [this, it](auto ec, std::size_t n)
        {
            if (ec)
            {
                it->close();
                return;
            }
            look_for_end({it->answered.data(), n});
            asio::async_write(it->caller, asio::buffer(it->answered, n),
                              [this, it](auto failed, std::size_t)
                              { failed ? it->close() : pass_answers(it); });
        });
}

/// Whether the instance reports an end, after which it is to crash.
void instance_link::look_for_end(std::string_view bytes)
{
    if (!m_crash_after_end || bytes.find("\"ended\":[[") == bytes.npos)
    {
        return;
    }
    m_crash_after_end = false;
    m_timer.expires_after(crash_pause);
    m_timer.async_wait(
        [this](auto ec)
        {
            if (!ec)
            {
                crash(down_time_of_crash);
            }
        });
}

} // namespace berylhill::review
