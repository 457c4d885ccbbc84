#pragma once

#include <base/result.hpp>
#include <base/time.hpp>

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace berylhill::scenario
{

/// A process that this one started, with its output in a file. It is killed
/// when its owner lets go of it, and by the kernel when our main thread ends.
/// Signals go to its id only while it was not waited for, so that no stranger
/// with a reused id is hit. Not thread-safe; to be used by the main thread.
class child_process
{
public:
    /// Precondition: `command` has the program's path first. Fails with
    /// `unavailable`.
    [[nodiscard]] static base::result<child_process>
    start(std::vector<std::string> const& command, std::string const& output);

    child_process() = default;
    ~child_process();
    child_process(child_process&& it) noexcept;
    child_process& operator=(child_process&& it) noexcept;

    void send_signal(int it);

    /// The exit code, 128 and the signal's number for one that was killed;
    /// empty while it runs.
    [[nodiscard]] std::optional<int> ended();

    /// Waits for the end; empty when it still runs after `most`.
    [[nodiscard]] std::optional<int> wait(base::duration most);

    [[nodiscard]] bool started() const noexcept
    {
        return m_id > 0;
    }

    /// Precondition: `started()`.
    [[nodiscard]] pid_t id() const noexcept
    {
        return m_id;
    }

private:
    pid_t m_id{0};
    std::optional<int> m_code;
};

} // namespace berylhill::scenario
