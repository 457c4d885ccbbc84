#pragma once

#include "bed.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <list>
#include <memory>
#include <string_view>

namespace berylhill::review
{

/// Lies between the processes and an instance, and passes bytes on. Ends the
/// instance's connections when that crashes. Lives on the bed's loop.
class instance_link
{
public:
    /// Listens at `at`. Throws where it cannot.
    instance_link(bed& on, std::size_t instance, std::uint16_t at);
    instance_link(instance_link const&) = delete;
    instance_link& operator=(instance_link const&) = delete;
    ~instance_link();

    /// Whether the instance crashes just after it has reported an end.
    void set_crash_after_end(bool it)
    {
        m_crash_after_end = it;
    }

    [[nodiscard]] bool crashed() const noexcept
    {
        return m_crashed;
    }

    /// The instance crashes, and is back under its id after `down_time`; until
    /// then connections to it are reset. Its entry follows.
    void crash(std::chrono::milliseconds down_time);

    /// How long the store takes for the entry.
    void set_entry_delay(std::chrono::milliseconds it)
    {
        m_entry_delay = it;
    }

private:
    struct pair;
    using pair_pointer = std::shared_ptr<pair>;
    using tcp = boost::asio::ip::tcp;

    [[nodiscard]] tcp::endpoint instance_endpoint() const;
    void accept();
    void begin(pair_pointer const& it);
    void pass_requests(pair_pointer const& it);
    void pass_answers(pair_pointer const& it);
    void look_for_end(std::string_view bytes);

    bed& m_bed;
    std::size_t m_instance;
    tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_entry_timer;
    std::list<std::weak_ptr<pair>> m_connections;
    std::chrono::steady_clock::time_point m_down_until{};
    std::chrono::milliseconds m_entry_delay{0};
    bool m_crash_after_end{false};
    bool m_crashed{false};
};

} // namespace berylhill::review
