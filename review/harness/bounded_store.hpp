#pragma once

#include <network/http_server.hpp>

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace berylhill::review
{

/// The platform's store: keyed topics of one partition, conditional appends,
/// reads that wait. As the protocol says, a record and the records of a call
/// have a largest size, and only the newest record of each key is kept when
/// the log is long. Lives on the event loop.
class bounded_store
{
public:
    /// Told of each append that is rejected because of its size.
    using reject_handler =
        std::function<void(std::size_t largest_record, std::size_t all)>;

    bounded_store(boost::asio::io_context& loop,
                  network::socket_address const& at,
                  reject_handler on_rejected);

    /// Writes a record as the operator or an instance does.
    void put(std::string const& topic,
             std::string const& key,
             std::string const& value);

    /// The newest record of the key in the topic; empty: there is none.
    [[nodiscard]] std::string newest_value(std::string const& topic,
                                           std::string const& key) const;

private:
    struct entry
    {
        std::string key;
        std::string value;
    };

    struct newest_entry
    {
        std::string value;
        std::uint64_t offset{0};
    };

    struct topic_log
    {
        std::uint64_t first{0};
        std::size_t bytes{0};
        std::deque<entry> entries;
        std::map<std::string, newest_entry> newest;

        [[nodiscard]] std::uint64_t end() const
        {
            return first + entries.size();
        }
    };

    struct waiting_read
    {
        std::string topic;
        std::uint64_t from{0};
        std::size_t most_bytes{0};
        network::responder answer;
        std::chrono::steady_clock::time_point until;
    };

    struct late_answer
    {
        network::responder answer;
        network::http_response response;
        std::chrono::steady_clock::time_point at;
    };

    void handle(network::http_request const& it, network::responder answer);
    void append(std::string const& topic,
                network::http_request const& it,
                network::responder answer);
    void newest(std::string const& topic,
                std::string const& after,
                network::responder const& answer) const;
    void add(topic_log& to, entry it);
    [[nodiscard]] network::http_response read(topic_log const& from,
                                              std::uint64_t offset,
                                              std::size_t most_bytes) const;
    void wake();
    void every_tick();

    boost::asio::steady_timer m_timer;
    network::http_server m_server;
    reject_handler m_on_rejected;
    std::map<std::string, topic_log> m_topics;
    std::list<waiting_read> m_waiting;
    std::deque<late_answer> m_late;
};

} // namespace berylhill::review
