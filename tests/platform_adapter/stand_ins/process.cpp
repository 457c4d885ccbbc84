#include "process.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>

namespace berylhill::platform_test
{

process::process(std::vector<std::string> const& arguments,
                 std::string const& log)
{
    std::vector<char*> words;
    words.reserve(arguments.size() + 1);
    for (auto const& it : arguments)
    {
        words.push_back(const_cast<char*>(it.c_str()));
    }
    words.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr mode_t mode = 0600;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, mode);
    auto const end =
        posix_spawn(&m_id, words[0], &actions, nullptr, words.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (end != 0)
    {
        throw std::runtime_error{"cannot start " + arguments[0]};
    }
}

process::~process()
{
    if (!ended())
    {
        signal(SIGKILL);
        ::waitpid(m_id, &m_status, 0);
    }
}

void process::signal(int number) const
{
    // Once it has been waited for, its number may be another process's.
    if (!m_ended)
    {
        ::kill(m_id, number);
    }
}

bool process::ended()
{
    if (!m_ended && ::waitpid(m_id, &m_status, WNOHANG) == m_id)
    {
        m_ended = true;
    }
    return m_ended;
}

} // namespace berylhill::platform_test
