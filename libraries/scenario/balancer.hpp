#pragma once

#include <cstddef>
#include <mutex>
#include <string>
#include <vector>

namespace berylhill::scenario
{

/// One entry as callers see it.
struct entry_address
{
    std::string name;
    std::string http;

    friend bool operator==(entry_address const&,
                           entry_address const&) = default;
};

/// Stands for the platform's balancer: which entry the next request goes to.
/// Thread-safe.
class balancer
{
public:
    void add(entry_address it);
    void remove(std::string const& name);

    [[nodiscard]] std::vector<entry_address> all() const;

    /// All, beginning with another one every time.
    [[nodiscard]] std::vector<entry_address> next_order();

private:
    mutable std::mutex m_mutex;
    std::vector<entry_address> m_entries;
    std::size_t m_next{0};
};

} // namespace berylhill::scenario
