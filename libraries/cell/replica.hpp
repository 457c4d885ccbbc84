#pragma once

#include <cell/owner_lookup.hpp>
#include <scheduler/record.hpp>

#include <map>
#include <optional>
#include <string>

namespace berylhill::cell
{

/// The newest records of the cell's log, kept by standbys so that they can take
/// over the work at once. Not thread-safe.
class replica
{
public:
    /// Sets the record of a key; an empty value deletes it.
    void set(std::string const& key, std::string const& value);

    void clear()
    {
        m_records.clear();
    }

    /// Returns the owner of the newest claim; its token is 0 if there is none.
    [[nodiscard]] owner_view owner() const;

    /// Returns how a job has ended, if its record says that it was submitted
    /// and has ended. Such a record is final.
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
