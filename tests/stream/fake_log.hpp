#pragma once

#include <platform/log_service.hpp>

#include <algorithm>
#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace berylhill::stream
{

/// What the fake does with the next append.
enum class fault : std::uint8_t
{
    none,
    down,        ///< Nothing is written, and the answer says so.
    lost_before, ///< No answer, and nothing is ever written.
    lost_after,  ///< Written, but the answer is lost.
    late,        ///< No answer; it is written just before the next append.
    overtaken,   ///< No answer; it is written just after the next append.
};

/// A log in memory whose faults are scripted, one stream only. Not
/// thread-safe.
class fake_log final : public platform::log_service
{
public:
    /// What happens to the appends to come, in order; after the last one, all
    /// is well.
    std::deque<fault> faults;
    bool reads_are_down{false};
    std::int64_t first{0};
    std::vector<std::string> bodies;

    base::result<std::int64_t> append(std::string const&,
                                      std::string const& body) override
    {
        auto const it = next_fault();
        if (it == fault::down)
        {
            return base::fail(base::failure_code::unavailable, "down");
        }
        if (it == fault::overtaken || it == fault::late)
        {
            (it == fault::overtaken ? m_overtaken : m_late) = body;
            return base::fail(base::failure_code::outcome_unknown, "no answer");
        }
        if (it == fault::lost_before)
        {
            return base::fail(base::failure_code::outcome_unknown, "no answer");
        }
        write(std::exchange(m_late, {}));
        write(body);
        auto const offset = static_cast<std::int64_t>(bodies.size()) - 1;
        write(std::exchange(m_overtaken, {}));
        if (it == fault::lost_after)
        {
            return base::fail(base::failure_code::outcome_unknown, "no answer");
        }
        return offset;
    }

    base::result<platform::log_page> read(std::string const&,
                                          std::int64_t from,
                                          std::int32_t most,
                                          base::duration) override
    {
        if (reads_are_down)
        {
            return base::fail(base::failure_code::unavailable, "down");
        }
        platform::log_page page;
        page.first = first;
        page.next = static_cast<std::int64_t>(bodies.size());
        for (auto n = std::max(from, first); n < page.next && most > 0; ++n)
        {
            page.records.push_back({n, bodies[static_cast<std::size_t>(n)]});
            --most;
        }
        return page;
    }

private:
    fault next_fault()
    {
        if (faults.empty())
        {
            return fault::none;
        }
        auto const it = faults.front();
        faults.pop_front();
        return it;
    }

    void write(std::string const& body)
    {
        if (!body.empty())
        {
            bodies.push_back(body);
        }
    }

    std::string m_late;
    std::string m_overtaken;
};

} // namespace berylhill::stream
