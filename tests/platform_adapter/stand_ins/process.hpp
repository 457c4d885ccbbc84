#pragma once

#include <cstddef>
#include <string>
#include <sys/types.h>
#include <vector>

namespace berylhill::platform_test
{

/// A process that the test started; ended by its id at the latest when this
/// object goes.
class process
{
public:
    /// Throws where it cannot be started. Its output goes to `log`.
    process(std::vector<std::string> const& arguments, std::string const& log);
    process(process const&) = delete;
    process& operator=(process const&) = delete;
    ~process();

    void signal(int number) const;

    /// The most memory that it has had resident so far, in bytes; 0 once it
    /// has ended.
    [[nodiscard]] std::size_t peak_memory() const;

    /// Files and sockets that it has open; 0 once it has ended.
    [[nodiscard]] std::size_t descriptors() const;

    /// Whether it has ended; its status is then known.
    [[nodiscard]] bool ended();

    [[nodiscard]] int status() const noexcept
    {
        return m_status;
    }

private:
    pid_t m_id{-1};
    bool m_ended{false};
    int m_status{0};
};

} // namespace berylhill::platform_test
