#include <scenario/checker.hpp>

#include <algorithm>
#include <map>

namespace berylhill::scenario
{

namespace
{

/// Where the product's operators' interface writes; see docs/PLATFORM.md.
constexpr char const* s_stream = "configuration";
constexpr std::int64_t s_in_force_within_us = 8'000'000;

/// Keeps the highest accepted offset that must be in force by now.
class accepted_offsets
{
public:
    void accept(std::int64_t at_us, std::int64_t offset)
    {
        m_due.emplace(at_us + s_in_force_within_us, offset);
    }

    std::int64_t due_by(std::int64_t at_us)
    {
        while (!m_due.empty() && m_due.begin()->first < at_us)
        {
            m_highest = std::max(m_highest, m_due.begin()->second);
            m_due.erase(m_due.begin());
        }
        return m_highest;
    }

private:
    std::multimap<std::int64_t, std::int64_t> m_due;
    std::int64_t m_highest{-1};
};

class configuration_checker final : public checker
{
public:
    std::string name() const override
    {
        return "configuration-holds";
    }

    std::vector<breach> check(timeline const& seen) const override
    {
        std::vector<breach> found;
        accepted_offsets accepted;
        std::map<std::string, std::int64_t> last;
        std::map<std::int64_t, std::string> content;
        std::map<std::int64_t, std::int64_t> written;
        for (auto const& it : seen)
        {
            if (it.kind == "append" && it.subject == s_stream)
            {
                written.emplace(it.number("offset"), it.at_us);
            }
            else if (it.kind == "configuration_accepted")
            {
                // The answer may come late, so the time is the log's.
                auto const offset = it.number("offset");
                auto const at = written.find(offset);
                accepted.accept(at == written.end() ? it.at_us : at->second,
                                offset);
            }
            else if (it.kind == "process_started")
            {
                last.erase(it.subject);
            }
            else if (it.kind == "configuration_seen")
            {
                check_seen(it, accepted.due_by(it.at_us), last, found);
                check_content(it, content, found);
            }
        }
        return found;
    }

private:
    void check_seen(event const& it,
                    std::int64_t due,
                    std::map<std::string, std::int64_t>& last,
                    std::vector<breach>& found) const
    {
        auto const offset = it.number("offset");
        if (offset < due)
        {
            found.push_back({name(), it.at_us,
                             it.subject + " is at offset " +
                                 std::to_string(offset) + ", but " +
                                 std::to_string(due) +
                                 " was accepted over 8 s ago"});
        }
        auto const [known, first] = last.emplace(it.subject, offset);
        if (!first && offset < known->second)
        {
            found.push_back({name(), it.at_us,
                             it.subject + " went back from offset " +
                                 std::to_string(known->second) + " to " +
                                 std::to_string(offset)});
        }
        known->second = offset;
    }

    void check_content(event const& it,
                       std::map<std::int64_t, std::string>& content,
                       std::vector<breach>& found) const
    {
        auto const [known, first] =
            content.emplace(it.number("offset"), it.word("digest"));
        if (!first && known->second != it.word("digest"))
        {
            found.push_back({name(), it.at_us,
                             it.subject + " has other contracts at offset " +
                                 std::to_string(known->first) +
                                 " than another entry"});
        }
    }
};

} // namespace

checker_pointer configuration_holds()
{
    return std::make_unique<configuration_checker>();
}

} // namespace berylhill::scenario
