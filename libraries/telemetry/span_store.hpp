#pragma once

#include <telemetry/span.hpp>

#include <cstddef>
#include <list>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace berylhill::telemetry
{

/// The newest spans of this instance, found by trace. Bounded: when full, the
/// oldest span gives way. Thread-safe.
class span_store
{
public:
    /// Keeps at most `most` spans; 0 keeps none.
    explicit span_store(std::size_t most);

    void add(span it);

    /// The spans of one trace, in the order in which they ended.
    [[nodiscard]] std::vector<span> spans_of(std::string const& trace_id) const;

    [[nodiscard]] std::size_t size() const;

private:
    using order = std::list<span>;

    void drop_oldest();

    std::size_t m_most;
    mutable std::mutex m_lock;
    order m_spans;
    std::unordered_multimap<std::string, order::iterator> m_by_trace;
};

} // namespace berylhill::telemetry
