#include <cell/owner_lookup.hpp>

#include <base/log.hpp>
#include <cell/peer_messages.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::cell
{

namespace
{

/// Time to the first byte of an answer: one record and its round trip, twice.
/// Doubled after each timeout up to the limit.
constexpr base::duration lookup_timeout = std::chrono::milliseconds{400};
constexpr base::duration max_lookup_timeout = std::chrono::milliseconds{1'600};

/// An answer that makes no progress for this long is on a silent connection.
constexpr base::duration lookup_stall_timeout = std::chrono::milliseconds{400};

} // namespace

owner_view claim_of(std::string const& value)
{
    auto const read = base::capture([&] { return parse_owner(value); });
    if (!read)
    {
        base::log(base::log_level::error, "claim_unreadable",
                  {{"error", read.error().message}});
        return {};
    }
    return read.value();
}

owner_lookup::owner_lookup(keyed_log& cell)
    : m_cell{cell}
    , m_timeout{lookup_timeout}
{
}

owner_lookup::~owner_lookup()
{
    ++*m_generation;
}

void owner_lookup::find(handler done)
{
    ++*m_generation;
    read_after(before_owner_key, std::move(done));
}

void owner_lookup::read_after(std::string const& key, handler done)
{
    m_cell.read_newest(
        key, {m_timeout, lookup_stall_timeout},
        [this, alive = m_generation, mine = *m_generation,
         done = std::move(done)](newest_result const& it)
        {
            if (*alive != mine)
            {
                return;
            }
            if (!it.answered)
            {
                m_timeout = std::min(2 * m_timeout, max_lookup_timeout);
                done(std::nullopt);
                return;
            }
            m_timeout = lookup_timeout;
            auto const at =
                std::ranges::find(it.entries, owner_key, &log_entry::key);
            if (at != it.entries.end())
            {
                done(found_claim{claim_of(at->value), it.log_end});
                return;
            }
            if (it.truncated && !it.entries.empty())
            {
                read_after(it.entries.back().key, done);
                return;
            }
            done(found_claim{{}, it.log_end});
        });
}

} // namespace berylhill::cell
