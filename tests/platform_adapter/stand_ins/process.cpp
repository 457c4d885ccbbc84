#include "process.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <string_view>

namespace berylhill::platform_test
{

namespace
{

/// What the kernel shows of the process.
std::filesystem::path folder_of(pid_t it)
{
    return std::filesystem::path{"/proc"} / std::to_string(it);
}

} // namespace

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

std::size_t process::peak_memory() const
{
    constexpr std::string_view name = "VmHWM:";
    constexpr std::size_t bytes_per_kb = 1'024;
    std::ifstream status{folder_of(m_id) / "status"};
    for (std::string line; std::getline(status, line);)
    {
        if (line.starts_with(name))
        {
            return std::stoul(line.substr(name.size())) * bytes_per_kb;
        }
    }
    return 0;
}

std::size_t process::descriptors() const
{
    std::error_code ec;
    auto const all =
        std::filesystem::directory_iterator{folder_of(m_id) / "fd", ec};
    return ec ? 0
              : static_cast<std::size_t>(std::distance(begin(all), end(all)));
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
