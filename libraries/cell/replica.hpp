#pragma once

#include <cell/owner_lookup.hpp>
#include <scheduler/record.hpp>

#include <map>
#include <optional>
#include <string>

namespace berylhill::cell
{

/// The newest records of the cell's log, kept by every process so that it can
/// take the work over at once. Not thread-safe.
class replica
{
public:
    /// An empty value drops the key.
    void set(std::string const& key, std::string const& value);

    void clear()
    {
        m_records.clear();
    }

    /// The owner of the newest claim; the token is 0 where there is none.
    [[nodiscard]] owner_view owner() const;

    /// How a job has ended, where its record says that it has: nothing that
    /// comes later changes it.
    [[nodiscard]] std::optional<scheduler::stored_status>
    end_of(workload::job_id it) const;

    [[nodiscard]] std::map<std::string, std::string> const&
    records() const noexcept
    {
        return m_records;
    }

private:
    std::map<std::string, std::string> m_records;
};

} // namespace berylhill::cell
