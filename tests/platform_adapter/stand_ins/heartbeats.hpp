#pragma once

#include "store_stand_in.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace berylhill::platform_test
{

/// Writes the entries of all instances into the store, one after the other,
/// each once in a heartbeat and none while the store is down. Lives on the
/// test's loop.
class heartbeats
{
public:
    /// Returns the ids of the instances and their entries.
    using entries_function =
        std::function<std::vector<std::pair<std::string, std::string>>()>;

    /// `store` must outlive this object.
    heartbeats(boost::asio::io_context& loop,
               store_stand_in& store,
               entries_function entries);

private:
    void write_next();

    store_stand_in& m_store;
    entries_function m_entries;
    boost::asio::steady_timer m_timer;
    std::size_t m_next{0};
};

} // namespace berylhill::platform_test
