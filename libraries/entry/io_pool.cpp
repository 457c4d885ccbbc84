#include <entry/io_pool.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>

#include <utility>

namespace berylhill::entry
{

struct io_pool::state
{
    explicit state(std::size_t n)
        : threads{n}
    {
    }
    boost::asio::thread_pool threads;
};

io_pool::io_pool(std::size_t threads)
    : m_state{std::make_unique<state>(threads)}
{
}

io_pool::~io_pool()
{
    join();
}

void io_pool::post(std::function<void()> work)
{
    boost::asio::post(m_state->threads, std::move(work));
}

void io_pool::join()
{
    m_state->threads.join();
}

} // namespace berylhill::entry
