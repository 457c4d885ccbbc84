#include <stand_ins/history.hpp>

#include <model/json.hpp>

#include <utility>

namespace berylhill::stand_ins
{

history::history(std::string const& file)
{
    if (!file.empty())
    {
        m_file.open(file, std::ios::trunc);
    }
}

void history::add(char const* kind,
                  std::string const& subject,
                  Json::Value details)
{
    details["kind"] = kind;
    details["subject"] = subject;
    std::lock_guard const lock{m_mutex};
    details["at_us"] = Json::Int64{m_clock.now().time_since_epoch().count()};
    auto line = model::text_of(details);
    if (m_file.is_open())
    {
        // Flushed, because the process may be killed by a scenario.
        m_file << line << std::endl;
    }
    m_lines.push_back(std::move(line));
}

std::string history::text(std::size_t from) const
{
    std::lock_guard const lock{m_mutex};
    std::string all;
    for (auto i = from; i < m_lines.size(); ++i)
    {
        all += m_lines[i] + "\n";
    }
    return all;
}

} // namespace berylhill::stand_ins
