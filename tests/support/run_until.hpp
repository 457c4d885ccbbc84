#pragma once

#include <boost/asio/io_context.hpp>

#include <chrono>

namespace berylhill::test_support
{

/// Runs the loop until `done`, for `limit` at most; whether it was done.
template <class Done>
bool run_until(boost::asio::io_context& loop,
               Done done,
               std::chrono::milliseconds limit)
{
    constexpr std::chrono::milliseconds turn{5};
    auto const end = std::chrono::steady_clock::now() + limit;
    while (!done() && std::chrono::steady_clock::now() < end)
    {
        loop.restart();
        loop.run_for(turn);
    }
    return done();
}

} // namespace berylhill::test_support
