#include <base/buffered_log.hpp>

#include <base/line_buffer.hpp>
#include <base/log_appender.hpp>

#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <poll.h>
#include <unistd.h>

#include <climits>
#include <memory>
#include <mutex>
#include <sstream>

namespace berylhill::base
{

namespace
{

/// A write of up to so many bytes does not block once a pipe is writable.
constexpr std::size_t write_bytes = PIPE_BUF;

/// Pipes to many readers are flushed in pieces; so many at a time keep a
/// flush short.
constexpr int writes_per_flush = 16;

class buffer_appender final : public log4cplus::Appender
{
public:
    explicit buffer_appender(std::size_t most_bytes)
        : m_buffer{most_bytes}
    {
    }

    buffer_appender(buffer_appender const&) = delete;
    buffer_appender& operator=(buffer_appender const&) = delete;

    ~buffer_appender() override
    {
        destructorImpl();
    }

    void close() override
    {
        flush();
        closed = true;
    }

    void flush()
    {
        std::lock_guard const held{m_lock};
        for (int n = 0; n < writes_per_flush && !m_buffer.empty(); ++n)
        {
            pollfd out{STDOUT_FILENO, POLLOUT, 0};
            if (::poll(&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0)
            {
                return;
            }
            auto const piece = m_buffer.front(write_bytes);
            auto const written =
                ::write(STDOUT_FILENO, piece.data(), piece.size());
            if (written <= 0)
            {
                // The reader is gone or full; the lines wait for the next
                // flush, and for the bound of the buffer.
                return;
            }
            m_buffer.pop(static_cast<std::size_t>(written));
        }
    }

    [[nodiscard]] log_counts counts() const
    {
        std::lock_guard const held{m_lock};
        return m_buffer.counts();
    }

protected:
    void append(log4cplus::spi::InternalLoggingEvent const& event) override
    {
        std::ostringstream line;
        layout->formatAndAppend(line, event);
        std::lock_guard const held{m_lock};
        m_buffer.push(line.str());
    }

private:
    mutable std::mutex m_lock;
    line_buffer m_buffer;
};

/// Set once by `start_buffered_log`.
buffer_appender* s_appender = nullptr;

} // namespace

void start_buffered_log(std::string_view instance,
                        log_level least,
                        std::size_t most_bytes)
{
    auto* const made = new buffer_appender{most_bytes};
    start_log_to(log4cplus::SharedAppenderPtr{made}, instance, least);
    s_appender = made;
}

void flush_log()
{
    if (s_appender != nullptr)
    {
        s_appender->flush();
    }
}

log_counts buffered_log_counts()
{
    return s_appender == nullptr ? log_counts{} : s_appender->counts();
}

} // namespace berylhill::base
