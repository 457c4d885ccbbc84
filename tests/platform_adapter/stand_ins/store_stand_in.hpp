#pragma once

#include <cell/append_limits.hpp>
#include <network/http_server.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace berylhill::platform_test
{

/// A small store that speaks the platform's protocol: keyed topics of one
/// partition, conditional appends, reads that wait. Lives on the test's loop.
class store_stand_in
{
public:
    store_stand_in(boost::asio::io_context& loop,
                   network::socket_address const& at);

    /// Writes a record as the operator or an instance does.
    void put(std::string const& topic,
             std::string const& key,
             std::string const& value);

    /// Refuses all calls while it is down.
    void set_down(bool it)
    {
        m_down = it;
    }

    [[nodiscard]] bool down() const noexcept
    {
        return m_down;
    }

    /// Carries out this share of the appends without an answer.
    void set_lost_share(double it)
    {
        m_lost_share = it;
    }

    /// Answers appends so much later.
    void set_append_delay(std::chrono::milliseconds it)
    {
        m_append_delay = it;
    }

    /// Answers reads so much later.
    void set_read_delay(std::chrono::milliseconds it)
    {
        m_read_delay = it;
    }

    /// From now on a read brings nothing where its first record is larger than
    /// what was asked for; before, that record comes alone.
    void set_strict_size()
    {
        m_strict_size = true;
    }

    /// From now on takes no larger records and calls than these; at first,
    /// those of the platform.
    void set_limits(cell::append_limits const& it)
    {
        m_limits = it;
    }

    /// Rejects appends with a record that has this in its key; empty: none.
    void set_rejected_key(std::string it)
    {
        m_rejected_key = std::move(it);
    }

    /// How many appends were rejected for good.
    [[nodiscard]] std::size_t rejected() const noexcept
    {
        return m_rejected;
    }

    /// How many appends were carried out without an answer.
    [[nodiscard]] std::size_t lost() const noexcept
    {
        return m_lost.size();
    }

    /// The last record of the key in any topic; empty: there is none.
    [[nodiscard]] std::string newest_value(std::string const& key) const;

    [[nodiscard]] std::size_t appends() const noexcept
    {
        return m_appends;
    }

    /// How often pages of the newest records of the topic were read.
    [[nodiscard]] std::size_t newest_reads(std::string const& topic) const
    {
        auto const at = m_newest_reads.find(topic);
        return at == m_newest_reads.end() ? 0 : at->second;
    }

private:
    struct entry
    {
        std::string key;
        std::string value;
    };

    struct waiting_read
    {
        std::string topic;
        std::size_t from{0};
        std::size_t most_bytes{0};
        network::responder answer;
        std::chrono::steady_clock::time_point until;
    };

    void handle(network::http_request const& it, network::responder answer);
    void append(std::string const& topic,
                std::string const& target,
                std::string const& body,
                network::responder const& answer);
    [[nodiscard]] bool rejects(std::string_view body) const;
    void newest(std::string const& topic, network::responder const& answer);
    [[nodiscard]] network::http_response read(std::string const& topic,
                                              std::size_t from,
                                              std::size_t most_bytes) const;
    /// Now, or `delay` later.
    void answer_after(std::chrono::milliseconds delay,
                      network::responder const& answer,
                      network::http_response response);
    void wake();
    void answer_late();
    void every_tick();

    boost::asio::steady_timer m_timer;
    network::http_server m_server;
    std::map<std::string, std::vector<entry>> m_topics;
    std::list<waiting_read> m_waiting;
    struct late_answer
    {
        network::responder answer;
        network::http_response response;
        std::chrono::steady_clock::time_point at;
    };

    std::list<late_answer> m_late;
    std::chrono::milliseconds m_append_delay{0};
    std::chrono::milliseconds m_read_delay{0};
    bool m_strict_size{false};
    cell::append_limits m_limits;
    std::string m_rejected_key;
    std::size_t m_rejected{0};
    std::size_t m_appends{0};
    std::map<std::string, std::size_t> m_newest_reads;
    bool m_down{false};
    double m_lost_share{0};
    double m_lost_sum{0};
    /// Answers that are never given.
    std::vector<network::responder> m_lost;
};

} // namespace berylhill::platform_test
