#include <scenario/child_process.hpp>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cassert>
#include <csignal>
#include <thread>
#include <utility>

namespace berylhill::scenario
{

namespace
{

constexpr int s_killed_by_signal = 128;
constexpr int s_cannot_run = 127;
constexpr auto s_poll = std::chrono::milliseconds{5};

/// Between fork and exec: only what is safe there.
[[noreturn]] void become(char* const* arguments, char const* output)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    auto const file = ::open(output, O_WRONLY | O_CREAT | O_APPEND, 0644);
    if (file >= 0)
    {
        ::dup2(file, STDOUT_FILENO);
        ::dup2(file, STDERR_FILENO);
    }
    ::execv(arguments[0], arguments);
    ::_exit(s_cannot_run);
}

} // namespace

base::result<child_process>
child_process::start(std::vector<std::string> const& command,
                     std::string const& output)
{
    assert(!command.empty());
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (auto const& it : command)
    {
        arguments.push_back(const_cast<char*>(it.c_str()));
    }
    arguments.push_back(nullptr);
    auto const id = ::fork();
    if (id == 0)
    {
        become(arguments.data(), output.c_str());
    }
    if (id < 0)
    {
        return base::fail(base::failure_code::unavailable,
                          "no process could be started");
    }
    child_process it;
    it.m_id = id;
    return it;
}

child_process::child_process(child_process&& it) noexcept
    : m_id{std::exchange(it.m_id, 0)}
    , m_code{it.m_code}
{
}

child_process& child_process::operator=(child_process&& it) noexcept
{
    std::swap(m_id, it.m_id);
    std::swap(m_code, it.m_code);
    return *this;
}

child_process::~child_process()
{
    if (m_id > 0 && !ended())
    {
        send_signal(SIGKILL);
        int status = 0;
        ::waitpid(m_id, &status, 0);
    }
}

void child_process::send_signal(int it)
{
    if (m_id > 0 && !m_code)
    {
        ::kill(m_id, it);
    }
}

std::optional<int> child_process::ended()
{
    if (m_code || m_id <= 0)
    {
        return m_code;
    }
    int status = 0;
    if (::waitpid(m_id, &status, WNOHANG) == m_id)
    {
        m_code = WIFEXITED(status) ? WEXITSTATUS(status)
                                   : s_killed_by_signal + WTERMSIG(status);
    }
    return m_code;
}

std::optional<int> child_process::wait(base::duration most)
{
    base::system_clock const clock;
    auto const until = clock.now() + most;
    while (!ended() && clock.now() < until)
    {
        std::this_thread::sleep_for(s_poll);
    }
    return m_code;
}

} // namespace berylhill::scenario
